// Package contention shares a pool of workers whose demand exceeds its capacity: which jobs
// are rejected on arrival (Judge), and in which order the waiting steps are started (Order).
//
// Usage, where jobs are submitted:
//
//	a := contention.Judge(pool, j, rand.Float64()) // pool as its owner published it
//	if a.TooLate {
//		return fault.New(fault.Overloaded, "...").After(a.RetryAfter)
//	}
//
// and by the owner, while the pool is full:
//
//	o := contention.NewOrder()
//	o.AddUse(queue, zone, processors, promoted) // for each task that runs in the pool
//	for _, s := range steps {                  // in the order of package ranking
//		o.Add(contention.Step{Queue: s.queue, Zone: s.zone, Rank: s.rank, ...})
//	}
//	for _, i := range o.Sorted() {
//		start(steps[i]) // promoted if o.IsPromoted(i)
//	}
//
// It is made for a demand of one and a half to two and a half times the capacity that lasts
// for longer than the objectives. Without admission control, the backlog grows until each
// job ends later than three times its objective, when its caller has given it up.
// With package ranking alone, the queue whose jobs come in first or have the least work gets
// the whole pool, and a large job waits for as long as smaller ones arrive.
//
// Judge takes the most favorable of several estimates: that the job waits for all work of
// the same or a more urgent priority, or for that of its own priority, queue, or queue and
// availability zone only, at the rate at which such work is started. The order is fair
// among queues, so that a queue which uses less than its share doesn't wait for the backlogs
// of others.
//
// Order is the max-min fair one by progressive filling: the next step is one of the queue
// that uses the fewest processors, counting the steps before it in the order as started.
// It is exact up to the size of a step. Processors that lasting tasks hold don't count:
// they aren't released by any order, and a queue with many of them would wait for ever.
package contention
