package main

import (
	"fmt"
	"io"
	"os"

	"github.com/dogwoodladder/dogwoodladder/loss"
	"github.com/dogwoodladder/dogwoodladder/timeline"
)

type explainCmd struct {
	ID     string   `xor:"what" required:"" help:"ID of the job."`
	Losses bool     `xor:"what" required:"" help:"Show which jobs were late, when and why, instead of one job."`
	Logs   []string `arg:"" type:"existingfile" help:"Logs of the instances."`
}

// Run prints the events of one job in order of time, or with Losses the report
// on all late jobs.
func (c *explainCmd) Run() error {
	if c.Losses {
		return c.losses()
	}
	t := timeline.New(c.ID)
	if err := c.read(t.Read); err != nil {
		return err
	}
	for _, e := range t.Events() {
		fmt.Println(e)
	}
	if t.Skipped() > 0 {
		fmt.Fprintf(os.Stderr, "%d lines that name the job couldn't be read\n", t.Skipped())
	}
	return nil
}

func (c *explainCmd) losses() error {
	table := loss.New()
	if err := c.read(table.Read); err != nil {
		return err
	}
	fmt.Print(table.Report())
	return nil
}

// read passes each log file to a reader function.
func (c *explainCmd) read(to func(name string, r io.Reader) error) error {
	for _, name := range c.Logs {
		if err := readLog(name, to); err != nil {
			return err
		}
	}
	return nil
}

func readLog(name string, to func(name string, r io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return to(name, f)
}
