package settings

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// drawDocument gives a small document in canonical order.
func drawDocument(t *rapid.T, label string) *config.Document {
	doc := &config.Document{}
	names := rapid.SliceOfDistinct(rapid.IntRange(0, 5), rapid.ID[int])
	for _, i := range names.Draw(t, label+" data centres") {
		doc.Fleet.DataCentres = append(doc.Fleet.DataCentres, config.DataCentre{Name: model.DataCentre(fmt.Sprint("dc", i)), Region: "r"})
	}
	for _, i := range names.Draw(t, label+" cells") {
		c := model.Cell{ID: model.CellID(fmt.Sprint("c", i)), DataCentre: "dc"}
		for _, j := range names.Draw(t, label+" workers") {
			slots := rapid.IntRange(1, 2).Draw(t, "slots")
			c.Workers = append(c.Workers, model.Worker{ID: model.WorkerID(fmt.Sprint("w", j)), Capacity: model.Shape{Slots: slots}})
		}
		doc.Fleet.Cells = append(doc.Fleet.Cells, c)
	}
	doc.Fleet.KeyGroups = rapid.IntRange(1, 3).Draw(t, label+" groups")
	doc.Defaults.MaxAttempts = rapid.IntRange(1, 3).Draw(t, label+" attempts")
	for _, i := range names.Draw(t, label+" accounts") {
		share := rapid.Float64Range(0, 2).Draw(t, "share")
		doc.Accounts = append(doc.Accounts, config.Account{Name: model.Account(fmt.Sprint("a", i)), Share: share})
	}
	for _, i := range names.Draw(t, label+" exceptions") {
		doc.Exceptions = append(doc.Exceptions, config.Exception{ID: fmt.Sprint("e", i), Reason: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "reason")})
	}
	return doc.Canonical()
}

func TestOperationsBetweenTwoDocumentsTurnOneIntoTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument(t, "a"), drawDocument(t, "b")
		was := config.Diff(nil, a)
		change := Between(a, b)
		if len(change.Ops) == 0 {
			if d := config.Diff(a, b); len(d) != 0 {
				t.Fatalf("no operations for %v", d)
			}
			return
		}
		data, err := EncodeRecord(&Record{ID: "x", Change: change})
		if err != nil {
			t.Fatal(err)
		}
		rec, err := DecodeRecord(data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Apply(a, rec.Change)
		if err != nil {
			t.Fatal(err)
		}
		if d := config.Diff(b, got); len(d) != 0 {
			t.Fatalf("differs by %v", d)
		}
		if fmt.Sprint(was) != fmt.Sprint(config.Diff(nil, a)) {
			t.Fatal("the old document was written to")
		}
	})
}

func TestChangesThatCannotBeApplied(t *testing.T) {
	doc := document()
	for name, c := range map[string]Change{
		"an empty change":                 {},
		"an empty operation":              {Ops: []Op{{}}},
		"an operation with two parts":     {Ops: []Op{{RemoveException: "a", RemoveAccount: "lab"}}},
		"both a document and operations":  {Document: doc, Ops: []Op{{RemoveAccount: "lab"}}},
		"removing an unknown exception":   {Ops: []Op{{RemoveException: "none"}}},
		"removing an unknown account":     {Ops: []Op{{RemoveAccount: "none"}}},
		"removing an unknown cell":        {Ops: []Op{{RemoveCell: "none"}}},
		"removing an unknown data centre": {Ops: []Op{{RemoveDataCentre: "none"}}},
		"a worker in an unknown cell":     {Ops: []Op{{PutWorker: &PutWorker{Cell: "none"}}}},
		"a part after one that applies":   {Ops: []Op{exception("e", "x"), {RemoveCell: "none"}}},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Apply(doc, c); !errors.Is(err, ErrApply) {
				t.Errorf("got %v", err)
			}
			if len(doc.Exceptions) != 0 || len(doc.Accounts) != 1 {
				t.Error("the old document was written to")
			}
		})
	}
}
