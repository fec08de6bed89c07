package instance

import (
	"context"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/wire"
)

// cellQuestion is a question about the cell.
type cellQuestion[Req, Rep any] struct {
	inst *Instance
	kind wire.Kind
	// direct is put to the owner, and forward to other instances, which pass it on.
	direct, forward Req
	// known reports whether an answer tells what was asked for.
	known func(Rep) bool
	asked *inquiry
}

// cellAnswer is the answer of the owner, or the best one of others.
type cellAnswer[Rep any] struct {
	rep       Rep
	err       error
	fromOwner bool
}

// put puts the question to the cell's owner. If the owner does not know or can't be reached, it
// asks other instances to ask the owner that they know of: this one may have missed a change of the
// term. An owner that has lately not answered is asked beside the others.
func (q *cellQuestion[Req, Rep]) put(ctx context.Context) (Rep, error) {
	owner := q.inst.ownerAddr()
	q.asked.owner = owner
	if owner != "" && q.inst.members.failedLately(boottime(), owner) {
		return q.askTogether(ctx, owner)
	}
	a := q.askOwner(ctx, owner)
	if a.err == nil && q.known(a.rep) {
		return a.rep, nil
	}
	if o := q.askOthers(ctx, owner); o.err == nil && q.known(o.rep) {
		return o.rep, nil
	}
	return a.rep, a.err
}

// askTogether asks the owner and others at the same time, and returns the first answer that tells
// what was asked for, or that of the owner.
func (q *cellQuestion[Req, Rep]) askTogether(ctx context.Context, owner string) (Rep, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan cellAnswer[Rep], 2)
	go func() { answers <- q.askOwner(ctx, owner) }()
	go func() { answers <- q.askOthers(ctx, owner) }()
	var ofOwner cellAnswer[Rep]
	for range cap(answers) {
		a := <-answers
		if a.err == nil && q.known(a.rep) {
			return a.rep, nil
		}
		if a.fromOwner {
			ofOwner = a
		}
	}
	return ofOwner.rep, ofOwner.err
}

func (q *cellQuestion[Req, Rep]) askOwner(ctx context.Context, owner string) cellAnswer[Rep] {
	a := cellAnswer[Rep]{fromOwner: true}
	if owner == "" {
		a.err = eris.Wrap(ErrUnavailable, "no owner known")
		return a
	}
	a.rep, a.err = q.ask(ctx, owner, q.direct)
	return a
}

// askOthers asks other instances than the owner in turn until one knows.
func (q *cellQuestion[Req, Rep]) askOthers(ctx context.Context, owner string) cellAnswer[Rep] {
	for _, addr := range q.inst.peers() {
		if ctx.Err() != nil {
			break
		}
		if addr == owner {
			continue
		}
		if rep, err := q.ask(ctx, addr, q.forward); err == nil && q.known(rep) {
			return cellAnswer[Rep]{rep: rep}
		}
	}
	return cellAnswer[Rep]{err: ErrUnavailable}
}

func (q *cellQuestion[Req, Rep]) ask(ctx context.Context, addr string, req Req) (Rep, error) {
	rep, err := askPeer[Req, Rep](ctx, q.inst, addr, q.kind, req)
	q.asked.add(addr, err == nil && q.known(rep), err)
	return rep, err
}
