package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dogwoodladder/dogwoodladder/aggregation"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/roster"
)

// AggregationClient hands records over to an aggregator.
type AggregationClient interface {
	Write(ctx context.Context, to roster.Member, records []provider.KeyedRecord) aggregation.Result
}

const (
	// minCandidateTimeout is how long a candidate may take to answer before the next one is
	// asked as well.
	minCandidateTimeout = 400 * time.Millisecond
	// A record waits for the append in flight and for its own. A candidate that needs longer
	// than 400 ms for these isn't lost, and each further one that writes makes the appends of
	// all slower. So a candidate has the time of three appends, within a bound that leaves time
	// for the others.
	appendsOfTimeout    = 3
	maxCandidateTimeout = 1200 * time.Millisecond
	// suspectTimeout is how long one that has failed before may take, so that a candidate that
	// stays frozen doesn't delay records each time it is tried again.
	suspectTimeout = 100 * time.Millisecond
	// handoverSpacing is the time after which a batch is sent although the previous ones
	// aren't answered. Their records wait at the aggregator, which writes all of them with
	// one append, so that more calls don't cost more appends.
	handoverSpacing = 50 * time.Millisecond
	// maxHandovers is the maximum number of batches in flight. At handoverSpacing it suffices
	// for batches that are answered by the second candidate.
	maxHandovers = 16
	// handoverTimeout is how long a batch waits for an answer. Callers usually have 3 s. After a batch that wasn't written
	// the next one waits less, so that an instance that reaches no candidate rejects its callers
	// while they can still try another one.
	handoverTimeout        = 2 * time.Second
	failingHandoverTimeout = 700 * time.Millisecond
)

// handover hands batches of records over to aggregators.
type handover struct {
	d       *Dispatcher
	client  AggregationClient
	router  *aggregation.Router
	batches *batcher
	outage  outageDetector
	failing atomic.Bool // whether the last batch that ended wasn't written
	// appendTime is the time that the last acknowledged append took, in nanoseconds.
	appendTime atomic.Int64
	// written and failed get the outcome of each batch.
	written func(appendTime time.Duration)
	failed  func()
}

func newHandover(d *Dispatcher, client AggregationClient) *handover {
	h := &handover{d: d, client: client, router: aggregation.NewRouter()}
	h.batches = newBatcher(d, maxHandovers, handoverSpacing, h.writeBatch)
	return h
}

// candidates returns the aggregators to try. This instance is among them only if it has an
// aggregator of its own.
func (h *handover) candidates() []roster.Member {
	s := h.d.standbys
	members := s.roster.Members()
	if h.d.localSink == nil {
		members = without(members, h.d.instance)
	}
	return h.router.Order(h.d.clock(), members, s.roster.Heartbeat().Owner)
}

// takes reports whether a record can be handed over: an aggregator is known, and the record isn't
// larger than what each of them takes.
func (h *handover) takes(record provider.KeyedRecord) bool {
	return len(h.candidates()) > 0 && aggregation.Check([]provider.KeyedRecord{record}) == nil
}

func without(members []roster.Member, id string) []roster.Member {
	var others []roster.Member
	for _, m := range members {
		if m.ID != id {
			others = append(others, m)
		}
	}
	return others
}

// candidateTimeout returns how long a candidate may take to answer.
func (h *handover) candidateTimeout(id string) time.Duration {
	if h.failing.Load() || h.router.IsSuspect(id) {
		return suspectTimeout
	}
	return min(maxCandidateTimeout, max(minCandidateTimeout, appendsOfTimeout*time.Duration(h.appendTime.Load())))
}

// timeout returns how long a batch waits for an answer.
func (h *handover) timeout() time.Duration {
	if h.failing.Load() {
		return failingHandoverTimeout
	}
	return handoverTimeout
}

// ask hands a batch over to one candidate.
func (h *handover) ask(ctx context.Context, to roster.Member, records []provider.KeyedRecord) aggregation.Result {
	if to.ID == h.d.instance {
		return h.d.localSink.Write(ctx, records)
	}
	return h.client.Write(ctx, to, records)
}

// writeBatch hands a batch over to one candidate after the other until one acknowledges it. A
// candidate that is late may still write it, so that its answer is awaited beside that of the
// next one.
func (h *handover) writeBatch(ctx context.Context, batch []*pendingWrite) {
	candidates := h.candidates()
	ctx, cancel := context.WithTimeout(ctx, h.timeout())
	defer cancel()
	c := &handoverCall{handover: h, records: recordsOf(batch), candidates: candidates, answers: make(chan answer, len(candidates))}
	number := h.outage.beginWrite()
	err := c.run(ctx, func() {
		for _, e := range batch {
			e.done <- errLate
		}
	})
	h.outage.endWrite(number, !fault.Is(err, fault.MayHaveRun))
	h.failing.Store(err != nil)
	if err != nil {
		h.failed()
	}
	for _, e := range batch {
		e.finish(err)
	}
}

// handoverCall is the hand-over of one batch to the candidates.
type handoverCall struct {
	*handover
	records    []provider.KeyedRecord
	candidates []roster.Member
	answers    chan answer
	asked      int
	answered   int
	late       <-chan time.Time // gets a value when the next candidate is to be asked
}

// answer is a candidate's answer to a batch.
type answer struct {
	candidate int // index in candidates
	result    aggregation.Result
}

// run asks the candidates and returns nil once one has written the batch. It calls onLate when
// none is left to ask and those that haven't answered are late.
func (c *handoverCall) run(ctx context.Context, onLate func()) error {
	unknown, reported := false, false
	advance := func() {
		switch {
		case c.asked < len(c.candidates):
			c.askNext(ctx)
		case !reported:
			reported = true
			onLate()
		}
	}
	c.late = time.After(0) // for the first candidate
	for c.answered < len(c.candidates) {
		select {
		case a := <-c.answers:
			if c.accept(a) {
				return nil
			}
			unknown = unknown || a.result.Outcome == aggregation.Unknown
			if a.candidate == c.asked-1 && c.answered < len(c.candidates) {
				advance()
			}
		case <-c.late:
			c.late = nil
			advance()
		}
	}
	if unknown {
		return fault.New(fault.MayHaveRun, "no answer from %d aggregators", len(c.candidates))
	}
	return fault.New(fault.Unavailable, "refused by %d aggregators", len(c.candidates))
}

func (c *handoverCall) askNext(ctx context.Context) {
	n := c.asked
	c.asked++
	c.late = time.After(c.candidateTimeout(c.candidates[n].ID))
	c.d.tomb.Go(func() error {
		c.answers <- answer{candidate: n, result: c.ask(ctx, c.candidates[n], c.records)}
		return nil
	})
}

// accept handles an answer and reports whether the batch is written. A candidate that is late
// counts as failed only once the next one has overtaken it. If all are slow, as the store is,
// then avoiding them would add writers, and each one makes the appends of all slower.
func (c *handoverCall) accept(a answer) (written bool) {
	c.answered++
	now := c.d.clock()
	if a.result.Outcome != aggregation.Written {
		c.router.Failed(now, c.candidates[a.candidate].ID)
		return false
	}
	for _, m := range c.candidates[:a.candidate] {
		c.router.Failed(now, m.ID) // refused before, or was overtaken
	}
	c.router.Succeeded(c.candidates[a.candidate].ID)
	c.appendTime.Store(int64(a.result.AppendTime))
	c.written(a.result.AppendTime)
	return true
}
