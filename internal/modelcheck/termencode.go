package modelcheck

import "bytes"

// maxTermEncoding is the size in bytes of an encoded state or more.
const maxTermEncoding = 96

// Append appends the encoded state. States that differ only by the names of the instances
// and of the workers have the same encoding, which is the least of theirs.
func (s TermState) Append(b []byte) []byte {
	start := len(b)
	b = s.appendSwapped(b, 0, 0)
	if !s.isSymmetric() {
		return b
	}
	var buf [maxTermEncoding]byte
	for swap := uint8(1); swap < 4; swap++ {
		if other := s.appendSwapped(buf[:0], swap&1, swap>>1); bytes.Compare(other, b[start:]) < 0 {
			b = append(b[:start], other...)
		}
	}
	return b
}

// appendSwapped appends the encoded state after the exchange of the instances, if
// instanceSwap is 1, and of the workers, if workerSwap is 1.
func (s *TermState) appendSwapped(b []byte, instanceSwap, workerSwap uint8) []byte {
	for n := range uint8(instances) {
		b = s.instance[n^instanceSwap].appendSwapped(b, workerSwap)
	}
	for n := range uint8(termWorkers) {
		w := &s.worker[n^workerSwap]
		b = append(b, w.knownTerm|w.runTerm<<4, w.leaseLeft|w.barredTerm<<4, b2u(w.endListed)|b2u(w.partitioned)<<1|b2u(w.expiredSinceEnd)<<2)
	}
	owner, startWorker := s.owner, s.startWorker
	if s.term != 0 {
		owner ^= instanceSwap
	}
	if s.startTerm != 0 {
		startWorker ^= workerSwap
	}
	b = append(b, s.term|owner<<4|s.renewalAge<<5, s.startTerm|startWorker<<4|s.startLeaseLeft<<5)
	b = s.appendKeeping(b, instanceSwap)
	return append(b, b2u(s.endRecorded)|b2u(s.endAcknowledged)<<1|b2u(s.ranTwice)<<2|b2u(s.restartedAfterEnd)<<3, s.restarts|s.partitions<<4)
}

func (i *instanceState) appendSwapped(b []byte, workerSwap uint8) []byte {
	answered, worker := i.answeredWorkers, i.taskWorker
	if workerSwap != 0 {
		answered = answered>>1 | answered&1<<1
	}
	if i.term != 0 && worker != noWorker {
		worker ^= workerSwap
	}
	return append(b, i.term|i.confirmationAge<<4, i.silentLeft|answered<<4, uint8(i.task)|worker<<3|b2u(i.startBarred)<<6)
}
