package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/operator"
)

// awaitPollInterval is the time between two polls of a daemon's status and limits the resolution of
// the result.
const awaitPollInterval = 10 * time.Millisecond

// awaitCommand measures how long it takes until the status of all daemons meets a condition.
func awaitCommand(app *kingpin.Application) command {
	c := app.Command("await", "Wait until the status of every daemon meets a condition and print the milliseconds that it took.")
	daemons := c.Flag("daemon", "Operator address of a daemon; may be repeated.").Short('d').Required().Strings()
	timeout := c.Flag("patience", "Time after which to fail.").Default("30s").Duration()
	condition := c.Arg("fact", "Condition: generation=N, members=N, upstream:NAME=STATE or daemon:NAME=STATE. members counts live daemons.").Required().String()
	return command{clause: c, run: func(ctx context.Context) error {
		return await(ctx, *daemons, *condition, *timeout)
	}}
}

// await polls the daemons, one after the other, until the status of each has shown the condition.
// It fails after the timeout.
func await(ctx context.Context, daemons []string, condition string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	for _, d := range daemons {
		for !statusShows(d, condition) {
			select {
			case <-ctx.Done():
				return errors.Errorf("status of daemon %s does not show %s within %s", d, condition, timeout)
			case <-time.After(awaitPollInterval):
			}
		}
	}
	fmt.Println(time.Since(start).Milliseconds())
	return nil
}

// statusShows reports whether the status of the daemon meets the condition. An unreachable daemon or
// an unknown kind of condition counts as not met.
func statusShows(daemon, condition string) bool {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+daemon+operator.StatusPath, time.Second)
	var s operator.Status
	if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &s) != nil {
		return false
	}
	subject, want, _ := strings.Cut(condition, "=")
	kind, name, _ := strings.Cut(subject, ":")
	switch kind {
	case "generation":
		return strconv.FormatInt(s.Generation, 10) == want
	case "members":
		live := 0
		for _, d := range s.Daemons {
			if d.State == "live" {
				live++
			}
		}
		return strconv.Itoa(live) == want
	case "upstream":
		for _, u := range s.Upstreams {
			if u.Name == name {
				return u.State == want
			}
		}
	case "daemon":
		for _, d := range s.Daemons {
			if d.Name == name {
				return d.State == want
			}
		}
	}
	return false
}
