"""What a check of a configuration reports: findings and differences.

Both are data, so that they can be printed for people and as JSON for scripts.
"""

import typing


class Finding(typing.NamedTuple):
    """Something in a configuration that is probably a mistake.

    Parameters
    ----------
    code : str
        Short name of the kind of finding, for scripts.
    place : str
        Name of the row that it concerns.
    message : str
    """

    code: str
    place: str
    message: str


class Difference(typing.NamedTuple):
    """A row that differs between two versions of a configuration.

    Parameters
    ----------
    table : str
    name : str
        Name of the row.
    change : str
        ``added``, ``removed`` or ``changed``.
    fields : dict of str to list
        Old and new value of each changed field. Of a secret one it has only
        how many values were removed and added.
    """

    table: str
    name: str
    change: str
    fields: dict


def compare_rows(table: str, old_by_name, new_by_name, secret_fields=()):
    """Yield the differences between two tables of named tuples.

    Parameters
    ----------
    table : str
    old_by_name, new_by_name : dict of str to typing.NamedTuple
    secret_fields : collection of str
        Fields whose values must not be shown.
    """
    for name in sorted(old_by_name.keys() - new_by_name.keys()):
        yield Difference(table, name, "removed", {})
    for name in sorted(new_by_name.keys() - old_by_name.keys()):
        yield Difference(table, name, "added", {})
    for name in sorted(old_by_name.keys() & new_by_name.keys()):
        old, new = old_by_name[name], new_by_name[name]
        fields = {
            field: describe_change(
                getattr(old, field), getattr(new, field), field, secret_fields
            )
            for field in new._fields
            if getattr(old, field) != getattr(new, field)
        }
        if fields:
            yield Difference(table, name, "changed", fields)


def describe_change(old, new, field: str, secret_fields) -> list:
    """Return the old and the new value, or counts of a secret one."""
    if field not in secret_fields:
        return [old, new]
    if not isinstance(new, tuple):
        old, new = (old,), (new,)
    return [
        f"{len(set(old) - set(new))} removed",
        f"{len(set(new) - set(old))} added",
    ]
