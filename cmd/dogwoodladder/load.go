package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/dogwoodladder/dogwoodladder/client"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/standin/caller"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

// standinTimeout bounds one request to a stand-in.
const standinTimeout = 10 * time.Second

type callerCmd struct {
	Service string        `required:"" help:"Service to ask."`
	List    string        `required:"" placeholder:"IP:PORT" help:"Instance list that names the entry instances and the workers."`
	Rate    float64       `default:"100" help:"Requests per second."`
	For     time.Duration `default:"5s" help:"How long to send requests."`
	Writes  float64       `default:"0.3" help:"Part of requests that aren't idempotent."`
	Work    time.Duration `default:"5ms" help:"Time that a request takes in a worker's slot."`
	Timeout time.Duration `default:"5s" help:"Bound on each try."`
	Seed    uint64        `default:"1" help:"What the random choices follow from."`
}

// Run sends requests to all entry instances on the list, and then compares
// the answers with the ledgers of the workers.
func (c *callerCmd) Run(ctx context.Context) error {
	entries, err := listInstances(ctx, c.List, provider.RoleEntry)
	if err != nil {
		return err
	}
	var addresses []string
	for _, e := range entries {
		addresses = append(addresses, e.Caller)
	}
	load, err := caller.New(addresses, c.Service,
		caller.WithRate(c.Rate),
		caller.WithWrites(c.Writes),
		caller.WithWork(c.Work),
		caller.WithTimeout(c.Timeout),
		caller.WithSeed(c.Seed),
		caller.WithOutput(os.Stdout, time.Second))
	if err != nil {
		return err
	}
	sending, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	summary := load.Run(sending)
	ledger, err := readLedger(ctx, c.List)
	if err != nil {
		return err
	}
	return printViolations(caller.Audit(summary.Tries, ledger.Nonces))
}

type ledgerCmd struct {
	List string `required:"" placeholder:"IP:PORT" help:"Instance list that names the workers."`
}

// Run prints how many batch tasks ran on the workers and how they ended, and
// fails when runs of one task overlapped.
func (c *ledgerCmd) Run(ctx context.Context) error {
	ledger, err := readLedger(ctx, c.List)
	if err != nil {
		return err
	}
	var done, runs int
	var faults []string
	for _, a := range ledger.Tasks {
		runs += len(a.Runs)
		for _, r := range a.Runs {
			if r.State == provider.TaskDone {
				done++
			}
		}
		if a.Overlap {
			faults = append(faults, fmt.Sprintf("task=%s ran in two places at once", a.Task))
		}
	}
	fmt.Printf("tasks=%d runs=%d done=%d overlapping=%d\n", len(ledger.Tasks), runs, done, len(faults))
	return printViolations(faults)
}

func printViolations(faults []string) error {
	for _, f := range faults {
		fmt.Println(f)
	}
	if len(faults) > 0 {
		return fault.New(fault.Internal, "%d guarantees broken", len(faults))
	}
	return nil
}

// readLedger fetches and merges the ledgers of all listed workers.
func readLedger(ctx context.Context, list string) (worker.Ledger, error) {
	workers, err := listInstances(ctx, list, provider.RoleWorker)
	if err != nil {
		return worker.Ledger{}, err
	}
	var ledgers []worker.Ledger
	for _, w := range workers {
		l, err := fetchLedger(ctx, w.Address)
		if err != nil {
			return worker.Ledger{}, err
		}
		ledgers = append(ledgers, l)
	}
	return worker.Merge(ledgers...), nil
}

func fetchLedger(ctx context.Context, address string) (worker.Ledger, error) {
	ctx, cancel := context.WithTimeout(ctx, standinTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ledger", nil)
	if err != nil {
		return worker.Ledger{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return worker.Ledger{}, fault.Wrap(fault.Unavailable, err, "read the ledger of the worker at %s", address)
	}
	defer response.Body.Close()
	var l worker.Ledger
	err = json.NewDecoder(response.Body).Decode(&l)
	return l, err
}

// listInstances returns the instances on the list that have a role.
func listInstances(ctx context.Context, list string, role provider.Role) ([]provider.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, standinTimeout)
	defer cancel()
	all, err := client.NewList(list).Instances(ctx)
	if err != nil {
		return nil, err
	}
	var found []provider.Instance
	for _, in := range all {
		if in.Role == role {
			found = append(found, in)
		}
	}
	return found, nil
}

type instancesCmd struct {
	List string `required:"" placeholder:"IP:PORT" help:"Instance list."`
}

// Run prints one line for each instance on the list.
func (c *instancesCmd) Run(ctx context.Context) error {
	for _, role := range []provider.Role{provider.RoleEntry, provider.RoleWorker} {
		instances, err := listInstances(ctx, c.List, role)
		if err != nil {
			return err
		}
		for _, in := range instances {
			fmt.Printf("id=%s role=%s zone=%s address=%s status=%s\n", in.ID, in.Role, in.AvailabilityZone, in.Address, in.Status)
		}
	}
	return nil
}
