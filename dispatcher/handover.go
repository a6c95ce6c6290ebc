package dispatcher

import (
	"context"
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
	// candidateTimeout is how long a candidate may take to answer before the next one is
	// asked as well. An aggregator whose appends take 188 ms answers within two of them.
	candidateTimeout = 400 * time.Millisecond
	// handoverSpacing is the time after which a batch is sent although the previous ones
	// aren't answered. Their records wait at the aggregator, which writes all of them with
	// one append, so that more calls don't cost more appends.
	handoverSpacing = 50 * time.Millisecond
	// maxHandovers is the maximum number of batches in flight. At handoverSpacing it suffices
	// for batches that are answered by the second candidate.
	maxHandovers = 16
	// handoverTimeout is how long a batch waits for any answer.
	handoverTimeout = intakeTimeout
)

// handover hands batches of records over to aggregators.
type handover struct {
	d       *Dispatcher
	client  AggregationClient
	router  *aggregation.Router
	batches *batcher
	// written and failed report whether a batch was acknowledged. Failed is also called for
	// a batch that no candidate has answered in time.
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
	if h.d.aggregator == nil {
		members = without(members, h.d.instance)
	}
	return h.router.Order(h.d.clock(), members, s.roster.Heartbeat().Owner)
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

// answer is a candidate's answer to a batch.
type answer struct {
	from   string
	result aggregation.Result
}

// ask hands a batch over to one candidate.
func (h *handover) ask(ctx context.Context, to roster.Member, records []provider.KeyedRecord) aggregation.Result {
	if to.ID == h.d.instance {
		return h.d.aggregator.Write(ctx, records)
	}
	return h.client.Write(ctx, to, records)
}

// writeBatch hands a batch over to one candidate after the other until one acknowledges it. A
// candidate that doesn't answer in time may still write it, so that its answer is awaited
// beside that of the next one.
func (h *handover) writeBatch(ctx context.Context, batch []*pendingWrite) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	records := recordsOf(batch)
	candidates := h.candidates()
	answers := make(chan answer, len(candidates))
	asked, answered := 0, 0
	var late <-chan time.Time
	askNext := func() {
		to := candidates[asked]
		asked++
		late = time.After(candidateTimeout)
		h.d.tomb.Go(func() error {
			answers <- answer{from: to.ID, result: h.ask(ctx, to, records)}
			return nil
		})
	}
	unknown := false
	for answered < len(candidates) {
		if asked == answered {
			askNext()
		}
		select {
		case a := <-answers:
			answered++
			if a.result.Outcome == aggregation.Written {
				h.router.Succeeded(a.from)
				h.written(a.result.AppendTime)
				finishAll(batch, nil)
				return
			}
			h.router.Failed(h.d.clock(), a.from)
			unknown = unknown || a.result.Outcome == aggregation.Unknown
		case <-late:
			late = nil
			h.router.Failed(h.d.clock(), candidates[asked-1].ID)
			if asked < len(candidates) {
				askNext()
				continue
			}
			h.failed()
			for _, e := range batch {
				e.done <- errLate
			}
		}
	}
	h.failed()
	if unknown {
		finishAll(batch, fault.New(fault.MayHaveRun, "write not answered by %d aggregators", len(candidates)))
		return
	}
	finishAll(batch, fault.New(fault.Unavailable, "refused by %d aggregators", len(candidates)))
}

func finishAll(batch []*pendingWrite, err error) {
	for _, e := range batch {
		e.finish(err)
	}
}
