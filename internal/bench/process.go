package bench

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const clockTick = 10 * time.Millisecond // unit of processor times in /proc on Linux

// Process reads the resource usage of a running process from /proc.
type Process struct {
	PID int
}

// CPU returns the user and system time used so far.
func (p Process) CPU() (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const user, system = 11, 12 // utime and stime: positions after the command name
	if len(fields) <= system {
		return 0, errors.New("unexpected form of /proc/PID/stat")
	}
	ticks := 0
	for _, f := range fields[user : system+1] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, errors.Wrap(err, "parse processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// ResidentBytes returns the resident set size.
func (p Process) ResidentBytes() (int64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID) + "/statm")
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("unexpected form of /proc/PID/statm")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "parse resident memory")
}

// Usage is the resource usage of a process during a measurement.
type Usage struct {
	Cores         float64 // processor seconds per second
	ResidentBytes int64   // resident set size at the end
}

// Measure runs f and returns the usage of the process while f ran.
func (p Process) Measure(f func() error) (Usage, error) {
	before, err := p.CPU()
	if err != nil {
		return Usage{}, err
	}
	start := time.Now()
	if err := f(); err != nil {
		return Usage{}, err
	}
	elapsed := time.Since(start)
	after, err := p.CPU()
	if err != nil {
		return Usage{}, err
	}
	resident, err := p.ResidentBytes()
	return Usage{Cores: (after - before).Seconds() / elapsed.Seconds(), ResidentBytes: resident}, err
}
