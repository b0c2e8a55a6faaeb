"""The committed page and the tables agree."""

from magnoliaglade.faults import Fault, Promise
from tests.matrix import document, protocols


class TestDocument:
    def test_page_is_up_to_date(self):
        """Guards against a page that differs; run `python -m tests.matrix`."""
        assert document.PATH.read_text(encoding="utf-8") == document.document()

    def test_each_promise_and_fault_is_covered(self):
        """Guards against a promise or fault without a cell."""
        checked = {p for x in protocols.ALL for p in x.promises}
        faults = {
            f
            for x in protocols.ALL
            for s, f in x.cells()
            if x.reason(s, f) is None
        }
        assert checked == set(Promise)
        assert faults == set(Fault)

    def test_reasons_are_given(self):
        """Guards against a cell that is left out without a reason."""
        for protocol in protocols.ALL:
            for key, reason in protocol.not_applicable.items():
                fault = key if isinstance(key, Fault) else key[1]
                assert fault in Fault
                assert reason.strip() and "\n" not in reason
