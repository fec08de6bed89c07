package term

import (
	"cmp"
	"math"
	"slices"
	"time"

	"coltsfootmux/internal/core/capacity"
	"coltsfootmux/internal/core/witness"
)

const (
	// voteValidity is how long a vote counts after it has been read.
	voteValidity = 10 * time.Second
	// singleVoteAfter is how long an owner has named no witnesses when one vote is enough: it may be that
	// of the only other instance.
	singleVoteAfter = 10 * time.Second
	// minNamed is the number of witnesses below which others judge an owner as well: an owner that few
	// instances reach names only these.
	minNamed = witness.MaxWitnesses/2 + 1
	// fewNamedAfter is how long an owner has named too few witnesses when others than witnesses judge it.
	// Instances with a claim delay follow later, so that in a large fleet few do.
	fewNamedAfter     = witnessCheckInterval
	weakFewNamedAfter = fewNamedAfter + 2*time.Second
)

// votes are the votes against the owner of one term.
type votes struct {
	term int64
	// silent holds when the latest vote of each voter was read that the owner does not answer, and from
	// where the voters serve their peers.
	silent map[witness.ID]time.Duration
	addrs  map[witness.ID]string
	// unanswered holds Vote.Unanswered of each, ranks Vote.Rank.
	unanswered map[witness.ID]int
	ranks      map[witness.ID]capacity.Rank
	// electorate are the witnesses that the record named when the first vote was read that still
	// counts. An owner replaces witnesses that do not answer it.
	electorate []Witness
	// yieldRequested says that a request to yield was read, yieldAt when the latest was and yieldAddr from
	// which address.
	yieldRequested bool
	yieldAt        time.Duration
	yieldAddr      string
}

// onVotes records votes against the owner of the latest term that have not been read before, which
// ended at the given offset. Votes against other terms have no effect.
func (c *Core) onVotes(readTo int64, vs []Vote) {
	c.dropVotes()
	for _, v := range vs {
		if v.Term != c.latest.Term || v.Offset < readTo {
			continue
		}
		switch v.Reason {
		case VoteSilent:
			if len(c.votes.silent) == 0 {
				c.votes.electorate = c.latest.Witnesses
			}
			if c.votes.mayVote(c.latest.Witnesses, v.Voter) {
				c.votes.silent[v.Voter], c.votes.addrs[v.Voter], c.votes.unanswered[v.Voter] = c.now, v.Addr, v.Unanswered
				c.votes.ranks[v.Voter] = v.Rank
				c.tenure.nextCheck = min(c.tenure.nextCheck, c.now)
			}
		case VoteStronger:
			c.votes.yieldRequested, c.votes.yieldAt, c.votes.yieldAddr = true, c.now, v.Addr
		}
	}
}

// dropVotes drops the votes that no longer count.
func (c *Core) dropVotes() {
	v := &c.votes
	if v.term != c.latest.Term || v.silent == nil {
		*v = votes{
			term: c.latest.Term, silent: make(map[witness.ID]time.Duration), addrs: make(map[witness.ID]string),
			unanswered: make(map[witness.ID]int), ranks: make(map[witness.ID]capacity.Rank),
		}
	}
	for voter, at := range v.silent {
		if c.now-at >= voteValidity {
			delete(v.silent, voter)
		}
	}
	v.yieldRequested = v.yieldRequested && c.now-v.yieldAt < voteValidity
}

// mayVote reports whether a voter is a witness, now or when the first vote was read. Against an owner
// that names too few everybody may vote.
func (v *votes) mayVote(now []Witness, voter witness.ID) bool {
	return len(now) < minNamed || contains(now, voter) || contains(v.electorate, voter)
}

// mostOf reports whether most of the given witnesses have voted.
func (v *votes) mostOf(ws []Witness) bool {
	n := 0
	for _, w := range ws {
		if v.has(w) {
			n++
		}
	}
	return 2*n > len(ws)
}

// has reports whether a witness, or a later incarnation on its machine, has voted.
func (v *votes) has(w Witness) bool {
	for voter := range v.silent {
		if witness.SameMachine(voter, w.ID) {
			return true
		}
	}
	return false
}

// rank returns the rank of a witness, or of a later incarnation on its machine, that has voted. One that is
// not known comes after all others.
func (v *votes) rank(w Witness) capacity.Rank {
	rank := capacity.Rank(math.MaxInt64)
	for voter := range v.silent {
		if witness.SameMachine(voter, w.ID) && v.ranks[voter].Known() {
			rank = min(rank, v.ranks[voter])
		}
	}
	return rank
}

// VotedOut reports whether most witnesses of the latest term have voted against its owner, or, if it
// names too few, more instances than it has on its side.
func (c *Core) VotedOut() bool {
	v := &c.votes
	switch {
	case v.term != c.latest.Term || len(v.silent) == 0:
		return false
	case c.unnamedFor() >= singleVoteAfter:
		return true
	case len(c.latest.Witnesses) < minNamed && len(v.silent) > 1+len(c.latest.Witnesses):
		return true
	}
	return v.mostOf(c.latest.Witnesses) || v.mostOf(v.electorate)
}

// voter returns the address of the strongest witness that has voted against the owner. It has found that most
// of the others answer it, which another instance that claims first may not be able to say.
func (c *Core) voter() string {
	byRank := func(a, b Witness) int { return cmp.Compare(c.votes.rank(a), c.votes.rank(b)) }
	var voters []Witness
	for _, w := range slices.Concat(c.latest.Witnesses, c.votes.electorate) {
		if c.votes.has(w) {
			voters = append(voters, w)
		}
	}
	if len(voters) > 0 {
		return slices.MinFunc(voters, byRank).Addr
	}
	var addrs []string
	for voter := range c.votes.silent {
		addrs = append(addrs, c.votes.addrs[voter])
	}
	return slices.Min(addrs)
}

// OthersVote reports whether votes of other instances against the owner of the latest term count at
// present.
func (c *Core) OthersVote() bool {
	if c.votes.term != c.latest.Term {
		return false
	}
	self := witness.IDOf(c.self)
	for voter, at := range c.votes.silent {
		if !witness.SameMachine(voter, self) && c.now-at < voteValidity {
			return true
		}
	}
	return false
}

// followVotes releases the owned term if there are votes enough, or an instance on a stronger machine
// has requested it by the store.
func (c *Core) followVotes() {
	c.dropVotes()
	if c.ownedTerm == 0 || !c.storeOK {
		return
	}
	if c.now-c.termSince >= c.LeastTenure() {
		switch {
		case c.VotedOut():
			c.releaseUnfit(ReasonVotedOut, c.voter())
			return
		case c.outnumbered():
			c.releaseUnfit(ReasonOutnumbered, c.voter())
			return
		}
	}
	if c.votes.yieldRequested && c.claimDelay() >= minYieldDelay {
		c.yield(YieldRequested{Term: c.votes.term, Addr: c.votes.yieldAddr})
	}
}

// JudgesFewNamed reports whether this instance judges another that has owned the latest term for a while
// and names too few witnesses, as few instances answer it. This instance is none of them.
func (c *Core) JudgesFewNamed() bool {
	rec, ok := c.OwnerRecord()
	if !ok || len(rec.Witnesses) >= minNamed || c.isWitness() || rec.Owner == c.self || rec.Addr == c.addr {
		return false
	}
	if d := c.claimDelay(); d > 0 {
		return c.fewNamedFor() > weakFewNamedAfter+4*d
	}
	return c.fewNamedFor() >= fewNamedAfter
}

// JudgesAlone reports whether this instance need not ask others before it votes: the owner has long
// reached no instance at all.
func (c *Core) JudgesAlone() bool {
	return c.JudgesFewNamed() && c.unnamedFor() >= singleVoteAfter
}

// fewNamedFor returns how long the latest record has named too few witnesses while the store has answered.
func (c *Core) fewNamedFor() time.Duration {
	if len(c.latest.Witnesses) >= minNamed {
		return 0
	}
	return c.now - max(c.fewNamedSince, c.storeOKSince)
}

// unnamedFor returns how long the latest record has named no witnesses while the store has answered.
func (c *Core) unnamedFor() time.Duration {
	if len(c.latest.Witnesses) > 0 {
		return 0
	}
	return c.now - max(c.unnamedSince, c.storeOKSince)
}
