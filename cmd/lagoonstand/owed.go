package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/standin"
	"github.com/lagoonmux/lagoonmux/internal/standin/check"
)

const owedRate = 40 // requests a second

func owedCommand(app *kingpin.Application) command {
	c := app.Command("owed", "Play callers that need exactly one whole answer and print one row. Exits with 1 when a promise was broken.")
	var o check.Options
	c.Flag("daemon", "Caller address of a daemon; repeat for several.").Required().StringsVar(&o.Daemons)
	file := c.Flag("manifest", "Manifest whose stand-ins are asked what they ran.").Required().String()
	c.Flag("model", "Model service.").Default("fortune").StringVar(&o.Model)
	c.Flag("desk", "Plain service with POST /orders, which may not be repeated.").Default("orders").StringVar(&o.PlainService)
	c.Flag("key", "Key of the customer.").Required().StringVar(&o.Key)
	c.Flag("rate", "Requests a second.").Default(fmt.Sprint(owedRate)).Float64Var(&o.Rate)
	c.Flag("duration", "Length of the arrivals.").Default("4s").DurationVar(&o.Duration)
	c.Flag("settle", "Time that accepted requests may take.").Default("45s").DurationVar(&o.LotTimeout)
	c.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&o.Seed)
	name := c.Flag("name", "Name of the row.").Default("row").String()
	return command{clause: c, run: func(ctx context.Context) error {
		m, err := standin.ReadManifest(*file)
		if err != nil {
			return err
		}
		o.Manifest = m
		began := time.Now()
		row, err := check.Run(ctx, o)
		if err != nil {
			return err
		}
		fmt.Printf("faults=%s %s seconds=%.1f\n", *name, row, time.Since(began).Seconds())
		for _, d := range row.Details {
			fmt.Println("  broken:", d)
		}
		if row.Violations() > 0 {
			return errors.New("a promise was broken")
		}
		return nil
	}}
}
