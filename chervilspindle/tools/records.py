"""Small index of generated records with a known answer to each search.

The records of a service depend only on its name and the snapshot; each
contains its snapshot, so that answers of mixed snapshots can be detected.
"""

import functools
import random

from chervilspindle.query import directory

RECORDS_PER_SERVICE = 48

GIVEN_NAMES = (
    "Amal Yassine Nour Salma Karim Leila Hedi Ines Nimal Kumari Ruwan "
    "Dilani Sunil Tharushi Asanka Malini"
).split()
FAMILY_NAMES = (
    "Trabelsi Gharbi Mansouri Jaziri Hammami Fernando Perera Silva "
    "Jayasinghe Mendis"
).split()
SUBJECTS = (
    "donor-letter aid-register beneficiary canoe kayak double-kayak "
    "raft waiver hold invoice"
).split()


@functools.lru_cache(maxsize=4096)
def build_records(service: str, snapshot: int) -> tuple[dict, ...]:
    """Return the records of a service in one snapshot, by key slot."""
    generator = random.Random(f"{service}")
    records = []
    for number in range(RECORDS_PER_SERVICE):
        key = f"{service}/{number:04d}"
        records.append(
            {
                "key": key,
                "slot": directory.hash_key(key),
                "name": (
                    f"{generator.choice(GIVEN_NAMES)} "
                    f"{generator.choice(FAMILY_NAMES)}"
                ),
                "subject": generator.choice(SUBJECTS),
                "snapshot": snapshot,
            }
        )
    records.sort(key=lambda record: record["slot"])
    return tuple(records)


def search(
    service: str, snapshot: int, low: int, high: int, query: dict
) -> list[dict]:
    """Return the records of a key range that match a query.

    Parameters
    ----------
    query : dict
        ``key`` selects one record, ``text`` those whose name or subject
        contains it; an empty query selects all.
    """
    text = str(query.get("text", "")).lower()
    key = query.get("key")
    found = []
    for record in build_records(service, snapshot):
        if not low <= record["slot"] < high:
            continue
        if key is not None and record["key"] != key:
            continue
        if text in f"{record['name']} {record['subject']}".lower():
            found.append(record)
    return found
