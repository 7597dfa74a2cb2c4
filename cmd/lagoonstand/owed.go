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

const defaultOwedRate = 40 // requests per second

// owedCommand defines the command "owed", which checks the delivery guarantees that daemons give
// to callers: no request runs twice, no accepted request is lost, no
// response is cut or belongs to another request, and a request reported as not-run has not run.
func owedCommand(app *kingpin.Application) command {
	c := app.Command("owed", "Send requests that each need exactly one complete response and print one row of results. Exits with 1 if a guarantee was violated.")
	var o check.Options
	c.Flag("daemon", "Caller address of a daemon; may be repeated.").Required().StringsVar(&o.Daemons)
	file := c.Flag("manifest", "Manifest whose stand-ins are queried for the requests that they ran.").Required().String()
	c.Flag("model", "Name of the model service.").Default("fortune").StringVar(&o.Model)
	c.Flag("desk", "Name of the plain service with POST /orders, a non-repeatable call.").Default("orders").StringVar(&o.PlainService)
	c.Flag("key", "API key of the customer.").Required().StringVar(&o.Key)
	c.Flag("rate", "Requests per second.").Default(fmt.Sprint(defaultOwedRate)).Float64Var(&o.Rate)
	c.Flag("duration", "Time during which requests are sent.").Default("4s").DurationVar(&o.Duration)
	c.Flag("settle", "Time that requests accepted for asynchronous processing may take.").Default("45s").DurationVar(&o.LotTimeout)
	c.Flag("seed", "Random seed of the arrivals.").Default("1").Uint64Var(&o.Seed)
	name := c.Flag("name", "Name of the row in the output.").Default("row").String()
	return command{clause: c, run: func(ctx context.Context) error {
		m, err := standin.ReadManifest(*file)
		if err != nil {
			return err
		}
		o.Manifest = m
		start := time.Now()
		row, err := check.Run(ctx, o)
		if err != nil {
			return err
		}
		fmt.Printf("faults=%s %s seconds=%.1f\n", *name, row, time.Since(start).Seconds())
		for _, d := range row.Details {
			fmt.Println("  broken:", d)
		}
		if row.Violations() > 0 {
			return errors.New("a delivery guarantee was violated")
		}
		return nil
	}}
}
