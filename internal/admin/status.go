package admin

import (
	"cmp"
	"net/http"
	"slices"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

func (s *Server) showAccounts(w http.ResponseWriter, r *http.Request) {
	views, unanswered := queryAll(r.Context(), s, s.opts.Schedulers.Overview)
	s.writeJSON(w, r, http.StatusOK, AccountsResponse{Accounts: sumAccounts(views), Unanswered: unanswered})
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
	views, unanswered := queryAll(r.Context(), s, s.opts.Schedulers.Overview)
	s.writeJSON(w, r, http.StatusOK, CellsResponse{Cells: mergeCells(views), Unanswered: unanswered})
}

// mergeCells returns the view of each cell that has the highest epoch, as a previous
// owner may still report the cell.
func mergeCells(views []wire.Overview) []wire.CellView {
	latest := make(map[model.CellID]wire.CellView)
	for _, v := range views {
		for _, c := range v.Cells {
			if old, ok := latest[c.ID]; !ok || c.Epoch > old.Epoch {
				latest[c.ID] = c
			}
		}
	}
	out := make([]wire.CellView, 0, len(latest))
	for _, c := range latest {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b wire.CellView) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (s *Server) showWorkers(w http.ResponseWriter, r *http.Request) {
	views, unanswered := queryAll(r.Context(), s, s.opts.Schedulers.Overview)
	out := WorkersResponse{Workers: []WorkerStatus{}, Unanswered: unanswered}
	cur := s.opts.Configs.Current()
	for _, c := range mergeCells(views) {
		for _, wv := range c.Workers {
			drained := cur != nil && cur.Document.Drained(s.opts.Clock(), c.ID, wv.ID)
			out.Workers = append(out.Workers, WorkerStatus{WorkerView: wv, Cell: c.ID, Drained: drained})
		}
	}
	s.writeJSON(w, r, http.StatusOK, out)
}
