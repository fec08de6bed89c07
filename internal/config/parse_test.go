package config

import (
	"errors"
	"reflect"
	"testing"
	"time"
)

func TestParseReadsTheWholeDocument(t *testing.T) {
	doc := mustParse(t, sample)
	if got := doc.Accounts[0].LongestWait.D(); got != 90*time.Second {
		t.Errorf("longest wait %v", got)
	}
	if got := doc.Fleet.Cells[0].ID; got != "ala1-r1" {
		t.Errorf("first cell %q: not in canonical order", got)
	}
	if got := doc.Defaults.UrgentWait; got != DefaultUrgentWait {
		t.Errorf("urgent wait %v: default not filled", got)
	}
	if got := doc.Fleet.Witnesses; got != 3 {
		t.Errorf("witnesses %d: want the largest odd number of the 3 workers", got)
	}
}

func TestEncodedDocumentParsesToItself(t *testing.T) {
	for name, doc := range map[string]*Document{"the sample": mustParse(t, sample), "a fleet": fleetOf(64, 5)} {
		t.Run(name, func(t *testing.T) {
			b, err := Encode(doc)
			if err != nil {
				t.Fatal(err)
			}
			back, err := Parse(b)
			if err != nil {
				t.Fatalf("%v\n%s", err, b)
			}
			if d := Diff(doc, back); len(d) != 0 {
				t.Errorf("changed by the round trip: %v", d)
			}
		})
	}
}

func TestEachFaultNamesLineAndField(t *testing.T) {
	cases := map[string]struct {
		old, replacement string
		line             int
		field            string
		problem          string
	}{
		"a field that does not exist":                  {"    longestWait: 90s", "    longestWayt: 90s", 27, "accounts[0].longestWayt", "unknown field"},
		"text that is not a duration":                  {"    longestWait: 90s", "    longestWait: soon", 27, "accounts[0].longestWait", "want a duration such as 1m30s"},
		"a number where a name list belongs":           {"    dataCentres: [ala1]", "    dataCentres: 7", 29, "accounts[1].dataCentres", "want a list"},
		"text where a number belongs":                  {"        count: 4", "        count: four", 25, "accounts[0].guarantees[0].count", "want a whole number"},
		"a guarantee with count zero":                  {"        count: 4", "        count: 0", 25, "accounts[0].guarantees[0].count", "must be at least 1"},
		"a negative share":                             {"    longestWait: 90s", "    share: -1", 27, "accounts[0].share", "must be at least 0"},
		"an account without a name":                    {"  - name: lab\n    dataCentres", "  - share: 1\n    dataCentres", 28, "accounts[1].name", "is required"},
		"two accounts with one name":                   {"  - name: lab", "  - name: clinic", 28, "accounts[1].name", `"clinic" is used twice`},
		"two workers of one id":                        {"        - id: w3", "        - id: w1", 18, "fleet.cells[1].workers[0].id", `"w1" is used twice`},
		"two workers at one address":                   {"127.0.0.1:7003", "127.0.0.1:7001", 19, "fleet.cells[1].workers[0].addr", `"127.0.0.1:7001" is used twice`},
		"a worker address that is a name":              {"127.0.0.1:7003", "worker-three", 19, "fleet.cells[1].workers[0].addr", `"worker-three" is not an IP address and port`},
		"a worker without capacity":                    {"          addr: 127.0.0.1:7003\n          capacity: {slots: 8, accelerators: 8}", "          addr: 127.0.0.1:7003", 18, "fleet.cells[1].workers[0].capacity", "must not be empty"},
		"two cells of one id":                          {"    - id: ala1-r1", "    - id: rix1-r1", 15, "fleet.cells[1].id", `"rix1-r1" is used twice`},
		"a cell in an unknown data centre":             {"      dataCentre: ala1\n", "      dataCentre: ala2\n", 16, "fleet.cells[1].dataCentre", `unknown data centre "ala2"`},
		"two data centres of one name":                 {"{name: ala1, region: away}", "{name: rix1, region: away}", 4, "fleet.dataCentres[1].name", `"rix1" is used twice`},
		"an even number of witnesses":                  {"accounts:\n", "  witnesses: 2\naccounts:\n", 21, "fleet.witnesses", "must be odd, so that a majority is more than half"},
		"more witnesses than workers":                  {"accounts:\n", "  witnesses: 5\naccounts:\n", 21, "fleet.witnesses", "is more than the fleet's 3 workers"},
		"an account in an unknown data centre":         {"    dataCentres: [ala1]", "    dataCentres: [ala1, ala9]", 29, "accounts[1].dataCentres[1]", `unknown data centre "ala9"`},
		"a guarantee in an unknown data centre":        {"        adjacency: rack", "        dataCentre: ala9", 26, "accounts[0].guarantees[0].dataCentre", `unknown data centre "ala9"`},
		"an adjacency that does not exist":             {"        adjacency: rack", "        adjacency: room", 26, "accounts[0].guarantees[0].adjacency", `unknown adjacency "room"`},
		"a guarantee with an empty shape":              {"      - shape: {slots: 2, accelerators: 2}", "      - shape: {slots: 0}", 24, "accounts[0].guarantees[0].shape", "must not be empty"},
		"a guarantee wider than any rack":              {"        count: 4", "        count: 9", 24, "accounts[0].guarantees[0]", `no place that the account may use holds 9 of this shape with adjacency "rack"`},
		"a guarantee larger than any worker":           {"shape: {slots: 2, accelerators: 2}", "shape: {slots: 2, accelerators: 9}", 24, "accounts[0].guarantees[0]", "guarantees up to here exceed the whole fleet"},
		"a guarantee too large for its data centre":    {"        count: 4\n        adjacency: rack", "        count: 5\n        dataCentre: ala1", 24, "accounts[0].guarantees[0]", `guarantees up to here exceed data centre "ala1"`},
		"two exceptions of one id":                     {"  - id: e2", "  - id: e1", 35, "exceptions[1].id", `"e1" is used twice`},
		"an exception without a reason":                {"    reason: audit week\n", "", 35, "exceptions[1].reason", "is required"},
		"an exception that selects an unknown account": {"    account: lab", "    account: labs", 38, "exceptions[1].account", `unknown client account "labs"`},
		"an exception that selects an unknown cell":    {"    cell: rix1-r1", "    cell: rix1-r9", 33, "exceptions[0].cell", `unknown cell "rix1-r9"`},
		"an exception that selects an unknown worker":  {"    cell: rix1-r1", "    worker: w9", 33, "exceptions[0].worker", `unknown worker "w9"`},
		"an exception on two kinds of place":           {"    cell: rix1-r1", "    cell: rix1-r1\n    worker: w1", 31, "exceptions[0]", "selects by more than one of dataCentre, cell and worker"},
		"an exception that overrides nothing":          {"    class: urgent\n", "", 35, "exceptions[1]", "overrides nothing"},
		"a drain without a place":                      {"    cell: rix1-r1\n", "", 33, "exceptions[0].drain", "needs one of dataCentre, cell and worker, and neither account nor kind"},
		"a limit selected by a place":                  {"    drain: true", "    concurrency: 3", 31, "exceptions[0]", "limits can't be selected by dataCentre, cell or worker"},
		"a class that does not exist":                  {"    class: urgent", "    class: vip", 40, "exceptions[1].class", "must be one of: batch, normal, urgent"},
		"a negative rate in an exception":              {"    class: urgent", "    ratePerSecond: -1", 40, "exceptions[1].ratePerSecond", "must be at least 0"},
		"a checkpoint slower than the reclaim":         {"accounts:\n", "defaults:\n  checkpointWithin: 9s\naccounts:\n", 22, "defaults.checkpointWithin", "must be less than reclaimWithin, or a late checkpoint delays the reclaim"},
		"a large wait beyond the longest":              {"accounts:\n", "defaults:\n  largeWait: 1h\naccounts:\n", 22, "defaults.largeWait", "must be less than longestWait, or no rack is ever drained for a large job"},
		"a key written twice":                          {"    longestWait: 90s", "    name: again", 27, "accounts[0].name", "is written twice"},
		"an expiry that is not a time":                 {"2026-12-10T00:00:00Z", "next week", 37, "exceptions[1].expires", "want a time such as 2006-01-02T15:04:05Z"},
		"an anchor":                                    {"    dataCentres: [ala1]", "    dataCentres: &a [ala1]", 29, "document", "anchors and aliases are not allowed"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(edit(t, c.old, c.replacement)))
			var got *FieldError
			if !errors.As(err, &got) || !errors.Is(err, ErrInvalid) {
				t.Fatalf("got %v", err)
			}
			t.Log(err)
			want := FieldError{Line: c.line, Field: c.field, Problem: c.problem}
			if *got != want {
				t.Errorf("got  %v\nwant %v", got, &want)
			}
		})
	}
}

func TestSeveralFaultsAreReportedAtOnce(t *testing.T) {
	text := edit(t, "    reason: audit week\n", "")
	_, err := Parse([]byte(text[:len(text)-len("urgent\n")] + "vip\n"))
	var all *InvalidError
	if !errors.As(err, &all) || len(all.Problems) != 2 {
		t.Fatalf("got %v", err)
	}
}

func TestTextThatIsNotOneMappingIsRefused(t *testing.T) {
	for name, text := range map[string]string{
		"empty":         "",
		"a list":        "- 1",
		"a scalar":      "7",
		"two documents": "fleet: {}\n---\nfleet: {}\n",
		"broken":        "fleet: [",
		"a tab":         "fleet:\n\tx: 1",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse([]byte(text)); !errors.Is(err, ErrInvalid) {
				t.Errorf("got %v", err)
			}
		})
	}
}

func TestCanonicalDoesNotModifyItsInput(t *testing.T) {
	doc := &Document{Accounts: []Account{{Name: "b"}, {Name: "a"}}}
	original := []Account{{Name: "b"}, {Name: "a"}}
	doc.Canonical()
	if !reflect.DeepEqual(doc.Accounts, original) {
		t.Errorf("reordered to %v", doc.Accounts)
	}
}
