package ctl

import (
	"encoding/json"
	"fmt"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/obs"
	"github.com/lagoonmux/lagoonmux/internal/operator"
)

// Status prints what the daemon says of itself, and all daemons and upstreams as
// it knows them, each daemon with its manifest in force and the lag of that.
func (c *Client) Status(asJSON bool) error {
	var s operator.Status
	if err := c.call(fasthttp.MethodGet, operator.StatusPath, nil, &s); err != nil {
		return err
	}
	if asJSON {
		return c.printJSON(s)
	}
	w := c.table()
	fmt.Fprintln(w, "NAME\tREGION\tZONE\tVERSION\tGENERATION\tREADY\tDRAINING\tCONNECTIONS\tUNREADABLE")
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%t\t%t\t%d\t%d\n",
		s.Name, s.Region, s.Zone, s.Version, s.Generation, s.Ready, s.Draining, s.Connections, s.Unreadable)
	if err := w.Flush(); err != nil {
		return err
	}
	if s.ManifestError != "" {
		fmt.Fprintf(c.out, "trouble: %s\n", s.ManifestError)
	}
	return c.printMembers(&s)
}

// Histograms prints the counters and histograms of the daemon.
func (c *Client) Histograms(asJSON bool) error {
	var r obs.Report
	if err := c.call(fasthttp.MethodGet, operator.HistogramsPath, nil, &r); err != nil {
		return err
	}
	if asJSON {
		return c.printJSON(r)
	}
	fmt.Fprintf(c.out, "since %s, times in ms\n\n", r.Since.UTC().Format(time.RFC3339))
	w := c.table()
	fmt.Fprintln(w, "CUSTOMER\tCLASS\tTIME\tCOUNT\tP50\tP95\tP99\tP99.9\tMAX")
	for i := range r.Groups {
		g := &r.Groups[i]
		quantileRow(w, g, "first token", g.FirstToken)
		quantileRow(w, g, "between tokens", g.BetweenTokens)
		quantileRow(w, g, "total", g.Total)
	}
	fmt.Fprintln(w, "\nCUSTOMER/CLASS"+counterHeads)
	for i := range r.Groups {
		g := &r.Groups[i]
		counterRow(w, g.Customer+"/"+string(g.Class), &g.Counters)
	}
	fmt.Fprintln(w, "\nUPSTREAM"+counterHeads)
	for i := range r.Upstreams {
		counterRow(w, r.Upstreams[i].Upstream, &r.Upstreams[i].Counters)
	}
	return w.Flush()
}

const counterHeads = "\tON-TIME\tLATE\tNOT-RUN\tUNKNOWN\tCUT\tGONE\tREPEATED\tRETRIES\tCROSSED\tLATE-FIRST\tLATE-BETWEEN\tLATE-TOTAL\tTOKENS"

func counterRow(w *tabwriter.Writer, name string, n *obs.Counters) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, n.OnTime, n.Late, n.NotRun, n.Unknown,
		n.Cut, n.Gone, n.Repeated, n.Retries, n.Crossed, n.LateFirst, n.LateBetween, n.LateTotal, n.Tokens)
}

func quantileRow(w *tabwriter.Writer, g *obs.GroupReport, name string, q obs.Quantiles) {
	if q.Count == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", g.Customer, g.Class, name, q.Count,
		inMS(q.P50), inMS(q.P95), inMS(q.P99), inMS(q.P999), inMS(q.Max))
}

func inMS(us int64) string { return fmt.Sprintf("%.1f", float64(us)/1000) }

// errNoRecord says that a daemon does not know a request.
var errNoRecord = errors.New("no daemon that was asked knows the request")

// Explain prints the steps of a recent request, which the first of the clients
// knows that served it.
func Explain(clients []*Client, id string, asJSON bool) error {
	err := errNoRecord
	for _, c := range clients {
		var rec obs.Record
		cerr := c.call(fasthttp.MethodGet, operator.RequestsPath+url.PathEscape(id), nil, &rec)
		if cerr == nil {
			return c.explain(&rec, asJSON)
		}
		if ExitCode(cerr) == ExitReach {
			err = cerr
		}
	}
	return err
}

func (c *Client) explain(r *obs.Record, asJSON bool) error {
	if asJSON {
		return c.printJSON(r)
	}
	fmt.Fprintf(c.out, "request=%s customer=%s service=%s class=%s result=%s status=%d attempts=%d tokens=%d\n",
		r.ID, r.Customer, r.Service, r.Class, r.Result, r.Status, r.Attempts, r.Tokens)
	fmt.Fprintf(c.out, "arrived=%s patience_ms=%.0f first_token_ms=%.1f total_ms=%.1f crossed=%d daemon=%s\n",
		r.Arrived.UTC().Format(time.RFC3339Nano), sinceMS(r.Arrived, r.Deadline), r.FirstTokenMS, r.TotalMS, r.Crossed, c.address)
	w := c.table()
	fmt.Fprintln(w, "AT MS\tWAIT MS\tSTEP\tATTEMPT\tPEER\tDETAIL")
	last := r.Arrived
	for _, s := range r.Steps {
		fmt.Fprintf(w, "%.1f\t%.1f\t%s\t%d\t%s\t%s\n", sinceMS(r.Arrived, s.At), sinceMS(last, s.At), s.Name, s.Attempt, s.Peer, s.Detail)
		last = s.At
	}
	if r.StepsDropped > 0 {
		fmt.Fprintf(w, "\t\t(%d more steps not kept)\n", r.StepsDropped)
	}
	return w.Flush()
}

func sinceMS(from, to time.Time) float64 { return float64(to.Sub(from).Microseconds()) / 1000 }

func (c *Client) table() *tabwriter.Writer { return tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0) }

func (c *Client) printJSON(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "print")
}
