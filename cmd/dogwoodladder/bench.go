package main

import (
	"os"

	"github.com/dogwoodladder/dogwoodladder/bench/batch"
	"github.com/dogwoodladder/dogwoodladder/bench/mixed"
	"github.com/dogwoodladder/dogwoodladder/bench/quick"
)

type benchCmd struct {
	Quick quickBenchCmd `cmd:"" help:"Measure the policies of quick requests."`
	Mixed mixedBenchCmd `cmd:"" help:"Measure what runs beside what."`
	Batch batchBenchCmd `cmd:"" help:"Measure batch work at the planned size."`
}

type quickBenchCmd struct {
	Seed   uint64 `default:"1" help:"Seed of arrivals and work."`
	Trials bool   `help:"Also run the policies that were tried and left."`
}

func (c *quickBenchCmd) Run() error {
	return quick.New(quick.WithSeed(c.Seed), quick.WithTrials(c.Trials)).Run(os.Stdout)
}

type mixedBenchCmd struct {
	Seeds int `default:"5" help:"Number of seeds."`
}

func (c *mixedBenchCmd) Run() error {
	return mixed.New(mixed.WithSeeds(c.Seeds)).Run(os.Stdout)
}

type batchBenchCmd struct{}

func (c *batchBenchCmd) Run() error {
	return batch.New().Run(os.Stdout)
}
