package main

import (
	"os"

	"github.com/dogwoodladder/dogwoodladder/bench/batch"
	"github.com/dogwoodladder/dogwoodladder/bench/capacity"
	"github.com/dogwoodladder/dogwoodladder/bench/mixed"
	"github.com/dogwoodladder/dogwoodladder/bench/quick"
	"github.com/dogwoodladder/dogwoodladder/bench/readers"
)

type benchCmd struct {
	Quick    quickBenchCmd    `cmd:"" help:"Measure the policies of quick requests."`
	Mixed    mixedBenchCmd    `cmd:"" help:"Measure what runs beside what."`
	Batch    batchBenchCmd    `cmd:"" help:"Measure batch work at the planned size."`
	Capacity capacityBenchCmd `cmd:"" help:"Measure how costs grow with the size of a site, with real processes too."`
	Readers  readersBenchCmd  `cmd:"" help:"Measure, in a model, how many readers one store carries after an outage, and how a configuration reaches all instances."`
}

type quickBenchCmd struct {
	Seed   uint64 `default:"1" help:"Seed of arrivals and work."`
	Trials bool   `help:"Also run the policies that were tried and left."`
}

func (c *quickBenchCmd) Run() error {
	return quick.New(quick.WithSeed(c.Seed), quick.WithTrials(c.Trials)).Run(os.Stdout)
}

type mixedBenchCmd struct {
	Seeds    int      `default:"5" help:"Number of seeds."`
	Sections []string `help:"Tables to print; all by default."`
	Parallel int      `default:"2" help:"Runs at the same time."`
}

func (c *mixedBenchCmd) Run() error {
	return mixed.New(mixed.WithSeeds(c.Seeds), mixed.WithSections(c.Sections...), mixed.WithParallel(c.Parallel)).Run(os.Stdout)
}

type batchBenchCmd struct {
	Sections []string `help:"Tables to print: steady, urgent, fold, recovery, outage, configuration; all by default."`
	Parallel int      `default:"3" help:"Runs at the same time."`
}

func (c *batchBenchCmd) Run() error {
	return batch.New(batch.WithSections(c.Sections...), batch.WithParallel(c.Parallel)).Run(os.Stdout)
}

type capacityBenchCmd struct {
	Sections []string `help:"Tables to print: state, control, process; all by default."`
	Port     int      `default:"17000" help:"First port of the processes."`
	Parallel int      `default:"3" help:"Runs at the same time."`
}

func (c *capacityBenchCmd) Run() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	return capacity.New(
		capacity.WithSections(c.Sections...),
		capacity.WithPort(c.Port),
		capacity.WithParallel(c.Parallel),
		capacity.WithProgram(program),
	).Run(os.Stdout)
}

type readersBenchCmd struct {
	Seed  uint64 `default:"1" help:"Seed of the random delays."`
	Sizes []int  `default:"100,300,600,1200,2400" help:"Numbers of readers."`
	Bytes int    `default:"60000" help:"Size of a configuration."`
}

func (c *readersBenchCmd) Run() error {
	if err := readers.Table(os.Stdout, c.Seed, c.Sizes); err != nil {
		return err
	}
	return readers.Versions(os.Stdout, c.Seed, c.Sizes, c.Bytes)
}
