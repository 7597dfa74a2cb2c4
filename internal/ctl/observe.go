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

// Status prints the state of the daemon, then all daemons that it knows, with the generation of
// the manifest in force at each and how long it took to come into force, and all upstreams.
func (c *Client) Status(asJSON bool) error {
	var s operator.Status
	if err := c.call(fasthttp.MethodGet, operator.StatusPath, nil, &s); err != nil {
		return err
	}
	if asJSON {
		return c.printJSON(s)
	}
	w := c.newTable()
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

// Histograms prints the daemon's request counters and latency quantiles since its start.
func (c *Client) Histograms(asJSON bool) error {
	var r obs.Report
	if err := c.call(fasthttp.MethodGet, operator.HistogramsPath, nil, &r); err != nil {
		return err
	}
	if asJSON {
		return c.printJSON(r)
	}
	fmt.Fprintf(c.out, "since %s, times in ms\n\n", r.Since.UTC().Format(time.RFC3339))
	w := c.newTable()
	fmt.Fprintln(w, "CUSTOMER\tCLASS\tTIME\tCOUNT\tP50\tP95\tP99\tP99.9\tMAX")
	for i := range r.Groups {
		g := &r.Groups[i]
		writeQuantiles(w, g, "first token", g.FirstToken)
		writeQuantiles(w, g, "between tokens", g.BetweenTokens)
		writeQuantiles(w, g, "total", g.Total)
	}
	fmt.Fprintln(w, "\nCUSTOMER/CLASS"+counterColumns)
	for i := range r.Groups {
		g := &r.Groups[i]
		writeCounters(w, g.Customer+"/"+string(g.Class), &g.Counters)
	}
	fmt.Fprintln(w, "\nUPSTREAM"+counterColumns)
	for i := range r.Upstreams {
		writeCounters(w, r.Upstreams[i].Upstream, &r.Upstreams[i].Counters)
	}
	return w.Flush()
}

// counterColumns are the headings of the columns that writeCounters writes after the name.
const counterColumns = "\tON-TIME\tLATE\tNOT-RUN\tUNKNOWN\tCUT\tGONE\tREPEATED\tRETRIES\tCROSSED\tLATE-FIRST\tLATE-BETWEEN\tLATE-TOTAL\tTOKENS"

func writeCounters(w *tabwriter.Writer, name string, n *obs.Counters) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, n.OnTime, n.Late, n.NotRun, n.Unknown,
		n.Cut, n.Gone, n.Repeated, n.Retries, n.Crossed, n.LateFirst, n.LateBetween, n.LateTotal, n.Tokens)
}

// writeQuantiles writes a row with the quantiles of one latency, unless it has no samples.
func writeQuantiles(w *tabwriter.Writer, g *obs.GroupReport, name string, q obs.Quantiles) {
	if q.Count == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", g.Customer, g.Class, name, q.Count,
		formatMS(q.P50), formatMS(q.P95), formatMS(q.P99), formatMS(q.P999), formatMS(q.Max))
}

// formatMS formats microseconds as milliseconds.
func formatMS(us int64) string { return fmt.Sprintf("%.1f", float64(us)/1000) }

// errNotRecorded is returned if no daemon has a record of a request.
var errNotRecorded = errors.New("none of the daemons has a record of the request")

// Explain prints the steps of a recent request from the first daemon that has a record of it.
// If none has one, it returns the error of a daemon that could not be reached, if any: that daemon
// may have the record.
func Explain(clients []*Client, id string, asJSON bool) error {
	err := errNotRecorded
	for _, c := range clients {
		var rec obs.Record
		callErr := c.call(fasthttp.MethodGet, operator.RequestsPath+url.PathEscape(id), nil, &rec)
		if callErr == nil {
			return c.printRecord(&rec, asJSON)
		}
		if ExitCode(callErr) == ExitUnreachable {
			err = callErr
		}
	}
	return err
}

// printRecord prints the record of a request as text or JSON.
func (c *Client) printRecord(r *obs.Record, asJSON bool) error {
	if asJSON {
		return c.printJSON(r)
	}
	fmt.Fprintf(c.out, "request=%s customer=%s service=%s class=%s result=%s status=%d attempts=%d tokens=%d\n",
		r.ID, r.Customer, r.Service, r.Class, r.Result, r.Status, r.Attempts, r.Tokens)
	fmt.Fprintf(c.out, "arrived=%s patience_ms=%.0f first_token_ms=%.1f total_ms=%.1f crossed=%d daemon=%s\n",
		r.Arrived.UTC().Format(time.RFC3339Nano), elapsedMS(r.Arrived, r.Deadline), r.FirstTokenMS, r.TotalMS, r.Crossed, c.address)
	w := c.newTable()
	fmt.Fprintln(w, "AT MS\tWAIT MS\tSTEP\tATTEMPT\tPEER\tDETAIL")
	last := r.Arrived
	for _, s := range r.Steps {
		fmt.Fprintf(w, "%.1f\t%.1f\t%s\t%d\t%s\t%s\n", elapsedMS(r.Arrived, s.At), elapsedMS(last, s.At), s.Name, s.Attempt, s.Peer, s.Detail)
		last = s.At
	}
	if r.StepsDropped > 0 {
		fmt.Fprintf(w, "\t\t(%d more steps not kept)\n", r.StepsDropped)
	}
	return w.Flush()
}

// elapsedMS returns the milliseconds between two times.
func elapsedMS(from, to time.Time) float64 { return float64(to.Sub(from).Microseconds()) / 1000 }

func (c *Client) newTable() *tabwriter.Writer { return tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0) }

func (c *Client) printJSON(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write JSON")
}
