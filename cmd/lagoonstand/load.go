package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/standin/load"
)

// maxQuietRun is the longest run that prints no progress.
const maxQuietRun = 5 * time.Second

// errWrongResponse is returned if a caller received an incorrect response or outcome.
var errWrongResponse = errors.New("a response was wrong or crossed, a request ran twice, or an outcome was reported incorrectly")

// errIncomplete is returned in strict mode if a request got neither a complete response nor a
// rejection.
var errIncomplete = errors.New("a request was cut off, without a response or with an unknown outcome")

// loadFlags are the flags of the load command.
type loadFlags struct {
	mix      string
	daemons  []string
	manifest string
	control  string
	duration time.Duration
	scale    float64
	seed     uint64
	asJSON   bool
	strict   bool
}

func loadCommand(app *kingpin.Application) command {
	c := app.Command("load", "Generate the load of a mix of callers against daemons, check every response and report. Exits with 1 if a response was wrong.")
	f := &loadFlags{}
	c.Flag("mix", "Mix of callers, JSON with comments.").Required().StringVar(&f.mix)
	c.Flag("daemon", "Caller address of a daemon; may be repeated: callers use the ready daemons in turn.").Default("127.0.0.1:7000").StringsVar(&f.daemons)
	c.Flag("manifest", "Manifest whose stand-ins are queried for the requests that they ran.").StringVar(&f.manifest)
	c.Flag("control", "Control address of the stand-ins, which also reaches those whose own port is closed by a fault.").StringVar(&f.control)
	c.Flag("duration", "Duration of the run, instead of that in the mix.").DurationVar(&f.duration)
	c.Flag("scale", "Factor for all arrival rates.").Default("1").Float64Var(&f.scale)
	c.Flag("seed", "Random seed, instead of that in the mix.").Uint64Var(&f.seed)
	c.Flag("json", "Print the report as JSON instead of a table.").BoolVar(&f.asJSON)
	c.Flag("strict", "Exit with 1 also if a request was cut off, without a response or with an unknown outcome.").BoolVar(&f.strict)
	return command{clause: c, run: f.run}
}

func (f *loadFlags) run(ctx context.Context) error {
	opts, err := f.options()
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, opts)
	if err != nil {
		return err
	}
	if f.asJSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.WriteTable(os.Stdout)
	}
	switch {
	case err != nil:
		return err
	case report.Violations() > 0:
		return errWrongResponse
	case f.strict && report.Unanswered() > 0:
		return errIncomplete
	}
	return nil
}

// options reads the mix and the manifest and applies the flags that override the mix.
func (f *loadFlags) options() (load.Options, error) {
	opts := load.Options{Daemons: f.daemons, Control: f.control}
	mix, err := load.ReadMix(f.mix)
	if err != nil {
		return opts, err
	}
	if f.duration > 0 {
		mix.DurationMS = int(f.duration / time.Millisecond)
	}
	if f.seed > 0 {
		mix.Seed = f.seed
	}
	for i := range mix.Callers {
		mix.Callers[i].PerSecond *= f.scale
	}
	opts.Mix = mix
	if time.Duration(mix.DurationMS)*time.Millisecond > maxQuietRun {
		opts.Progress = os.Stderr
	}
	if f.manifest != "" {
		data, err := os.ReadFile(f.manifest)
		if err != nil {
			return opts, errors.Wrap(err, "read manifest")
		}
		if opts.Manifest, err = manifest.Parse(f.manifest, data); err != nil {
			return opts, err
		}
	}
	return opts, nil
}
