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
	body, p := readBody[WorkerPutBody](w, r, maxSmallBody)
	if p != nil {
		p.Write(w)
		return
	}
	worker := model.Worker{ID: model.WorkerID(r.PathValue("worker")), Addr: body.Addr, Capacity: body.Capacity}
	s.apply(w, r, &change{
		who: identity(r), reason: body.Reason,
		build: inCell(r, func(c *model.Cell) error {
			c.Workers = without(c.Workers, worker.ID)
			c.Workers = append(c.Workers, worker)
			return nil
		}),
	}, body.WaitSeconds)
}

// removeWorker removes a worker from a cell.
func (s *Server) removeWorker(w http.ResponseWriter, r *http.Request) {
	id := model.WorkerID(r.PathValue("worker"))
	s.apply(w, r, &change{
		who: identity(r), reason: r.URL.Query().Get("reason"),
		build: inCell(r, func(c *model.Cell) error {
			n := len(c.Workers)
			c.Workers = without(c.Workers, id)
			if len(c.Workers) == n {
				return problem.New(http.StatusNotFound, codeNotFound, fmt.Sprintf("There is no worker %q in the cell.", id))
			}
			return nil
		}),
	}, 0)
}

// without returns a copy of the list without the given worker.
func without(list []model.Worker, id model.WorkerID) []model.Worker {
	return slices.DeleteFunc(slices.Clone(list), func(w model.Worker) bool { return w.ID == id })
}

// inCell returns a function that applies edit to a copy of the cell named in the
// request path.
func inCell(r *http.Request, edit func(*model.Cell) error) func(*config.Document) (*config.Document, error) {
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
