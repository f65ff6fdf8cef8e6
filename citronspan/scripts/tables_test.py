from pathlib import Path

from citronspan.scripts import tables

DOCS = Path(__file__).parents[2] / "docs"


def test_tables_in_docs_match_the_code():
    assert (DOCS / "RESULT_CODES.md").read_text() == tables.format_result_codes()
    assert (DOCS / "LOG_EVENTS.md").read_text() == tables.format_log_events()
