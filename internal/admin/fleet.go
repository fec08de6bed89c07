package admin

import (
	"fmt"
	"net/http"
	"slices"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/problem"
)

// putWorker adds a worker to a cell or replaces the one with the same id.
func (s *Server) putWorker(w http.ResponseWriter, r *http.Request) {
	body, p := readBody[PutWorkerRequest](w, r, maxSmallBody)
	if p != nil {
		p.Write(w)
		return
	}
	worker := model.Worker{ID: model.WorkerID(r.PathValue("worker")), Addr: body.Addr, Capacity: body.Capacity}
	s.apply(w, r, &change{
		caller: identity(r), reason: body.Reason,
		build: editCell(r, func(c *model.Cell) error {
			c.Workers = withoutWorker(c.Workers, worker.ID)
			c.Workers = append(c.Workers, worker)
			return nil
		}),
	}, body.WaitSeconds)
}

// removeWorker removes a worker from a cell.
func (s *Server) removeWorker(w http.ResponseWriter, r *http.Request) {
	id := model.WorkerID(r.PathValue("worker"))
	s.apply(w, r, &change{
		caller: identity(r), reason: r.URL.Query().Get("reason"),
		build: editCell(r, func(c *model.Cell) error {
			n := len(c.Workers)
			c.Workers = withoutWorker(c.Workers, id)
			if len(c.Workers) == n {
				return problem.New(http.StatusNotFound, codeNotFound, fmt.Sprintf("There is no worker %q in the cell.", id))
			}
			return nil
		}),
	}, 0)
}

// withoutWorker returns a copy of the list without the given worker.
func withoutWorker(list []model.Worker, id model.WorkerID) []model.Worker {
	return slices.DeleteFunc(slices.Clone(list), func(w model.Worker) bool { return w.ID == id })
}

// editCell returns a function that applies edit to a copy of the cell named in the
// request path.
func editCell(r *http.Request, edit func(*model.Cell) error) func(*config.Document) (*config.Document, error) {
	id := model.CellID(r.PathValue("cell"))
	return func(old *config.Document) (*config.Document, error) {
		if old == nil {
			return nil, errUnconfigured()
		}
		out := *old
		out.Fleet.Cells = slices.Clone(old.Fleet.Cells)
		cell := out.Cell(id)
		if cell == nil {
			return nil, problem.New(http.StatusNotFound, codeNotFound, fmt.Sprintf("There is no cell %q.", id))
		}
		return &out, edit(cell)
	}
}
