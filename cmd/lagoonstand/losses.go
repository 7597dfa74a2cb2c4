package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/logline"
	"github.com/lagoonmux/lagoonmux/internal/losses"
)

// siteConfig has the fields of a site file of the users' bench that define the credit for requests
// of each class.
type siteConfig struct {
	Classes []struct {
		Name       string  `toml:"name"`
		Credit     float64 `toml:"worth"` // credit for a response in time
		LateCredit float64 `toml:"late_worth"`
	} `toml:"classes"`
}

func lossesCommand(app *kingpin.Application) command {
	c := app.Command("losses", "Print tables of where a day of the users' bench lost score. The losses add up to 1 minus the score.")
	report := c.Flag("report", "Report of the day, as run --report of the users' bench writes it.").Required().ExistingFile()
	siteFile := c.Flag("site", "Site file of the bench, for the credit of each class of requests; without it all classes get the same.").ExistingFile()
	logs := c.Flag("log", "File with the daemons' logs of the day, for the reasons of the losses; may be repeated.").ExistingFiles()
	return command{clause: c, run: func(context.Context) error {
		r, err := readReport(*report)
		if err != nil {
			return err
		}
		credits, err := readCredits(*siteFile)
		if err != nil {
			return err
		}
		printLosses(os.Stdout, r, credits)
		if len(*logs) == 0 {
			return nil
		}
		lines, err := logline.Read(*logs)
		if err != nil {
			return err
		}
		start, ok := firstRequest(lines)
		if !ok {
			return errors.New("logs contain no request")
		}
		printCauses(os.Stdout, losses.Causes(lines, start))
		printUnservable(os.Stdout, losses.CountUnservable(lines))
		return nil
	}}
}

func readReport(name string) (*losses.Report, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open losses report")
	}
	defer f.Close()
	r, err := losses.ReadReport(f)
	return r, errors.Wrapf(err, "read losses report %s", name)
}

// readCredits returns the credits in a site file by class, none if name is empty.
func readCredits(name string) (map[string]losses.Credit, error) {
	credits := make(map[string]losses.Credit)
	if name == "" {
		return credits, nil
	}
	var s siteConfig
	if _, err := toml.DecodeFile(name, &s); err != nil {
		return nil, errors.Wrapf(err, "read site file %s", name)
	}
	for _, c := range s.Classes {
		credits[c.Name] = losses.Credit{InTime: c.Credit, Late: c.LateCredit}
	}
	return credits, nil
}

// firstRequest returns the time at which the logs record the end of the first request, which
// approximates the start of traffic. It returns false if there is no request.
func firstRequest(lines []logline.Line) (time.Time, bool) {
	for _, l := range lines {
		if l.Event == "request" {
			return l.At, true
		}
	}
	return time.Time{}, false
}

func printLosses(w io.Writer, r *losses.Report, credits map[string]losses.Credit) {
	sum := 0.0
	_, _ = fmt.Fprintf(w, "| where | what | lost | of |\n| --- | --- | --- | --- |\n")
	for _, loss := range r.Breakdown(credits) {
		sum += loss.Lost
		_, _ = fmt.Fprintf(w, "| %s | %s | %.4f | %.0f |\n", loss.Category, loss.Detail, loss.Lost, loss.Count)
	}
	_, _ = fmt.Fprintf(w, "| all | | %.4f | worth %.4f |\n", sum, r.Score)
}

func printCauses(w io.Writer, list []losses.Cause) {
	_, _ = fmt.Fprintf(w, "\n| kind | reason in the daemons' logs | requests | most, by second of traffic |\n| --- | --- | --- | --- |\n")
	for _, c := range list {
		_, _ = fmt.Fprintf(w, "| %s | %s | %d | %s |\n", c.Kind, c.Reason, c.Count, c.Peaks)
	}
}

// printUnservable prints the numbers of requests that no system could have served.
func printUnservable(w io.Writer, list []losses.UnservableCount) {
	_, _ = fmt.Fprintf(w, "\n| nobody could have served | requests |\n| --- | --- |\n")
	for _, l := range list {
		_, _ = fmt.Fprintf(w, "| %s | %d |\n", l.Reason, l.Count)
	}
}
