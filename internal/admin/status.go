package admin

import (
	"cmp"
	"net/http"
	"slices"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

func (s *Server) showAccounts(w http.ResponseWriter, r *http.Request) {
	views, missing := gather(r.Context(), s, s.o.Schedulers.Overview)
	s.write(w, r, http.StatusOK, AccountsBody{Accounts: sumAccounts(views), Unanswered: missing})
}

// sumAccounts sums the usage of each account over all schedulers.
func sumAccounts(views []wire.Overview) []wire.AccountView {
	sums := make(map[model.Account]*wire.AccountView)
	for _, v := range views {
		for _, a := range v.Accounts {
			sum := sums[a.ID]
			if sum == nil {
				sum = &wire.AccountView{ID: a.ID}
				sums[a.ID] = sum
			}
			sum.Guaranteed = sum.Guaranteed.Add(a.Guaranteed)
			sum.Used = sum.Used.Add(a.Used)
			sum.Lent = sum.Lent.Add(a.Lent)
			sum.Waiting += a.Waiting
		}
	}
	out := make([]wire.AccountView, 0, len(sums))
	for _, a := range sums {
		out = append(out, *a)
	}
	slices.SortFunc(out, func(a, b wire.AccountView) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (s *Server) showCells(w http.ResponseWriter, r *http.Request) {
	views, missing := gather(r.Context(), s, s.o.Schedulers.Overview)
	s.write(w, r, http.StatusOK, CellsBody{Cells: mergeCells(views), Unanswered: missing})
}

// mergeCells returns the view of each cell that has the highest epoch, as a previous
// owner may still report the cell.
func mergeCells(views []wire.Overview) []wire.CellView {
	best := make(map[model.CellID]wire.CellView)
	for _, v := range views {
		for _, c := range v.Cells {
			if old, ok := best[c.ID]; !ok || c.Epoch > old.Epoch {
				best[c.ID] = c
			}
		}
	}
	out := make([]wire.CellView, 0, len(best))
	for _, c := range best {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b wire.CellView) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (s *Server) showWorkers(w http.ResponseWriter, r *http.Request) {
	views, missing := gather(r.Context(), s, s.o.Schedulers.Overview)
	out := WorkersBody{Workers: []WorkerBody{}, Unanswered: missing}
	cur := s.o.Configs.Current()
	for _, c := range mergeCells(views) {
		for _, wv := range c.Workers {
			drained := cur != nil && cur.Document.Drained(s.o.Clock(), c.ID, wv.ID)
			out.Workers = append(out.Workers, WorkerBody{WorkerView: wv, Cell: c.ID, Drained: drained})
		}
	}
	s.write(w, r, http.StatusOK, out)
}
