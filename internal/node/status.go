package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/netopt"
)

const (
	metricsPath = "/metrics"
	// statusTimeout bounds reading a request and writing its response.
	statusTimeout = 2 * time.Second
	// statusIdleTimeout is how long a connection for readiness checks or metrics may stay
	// idle.
	statusIdleTimeout = 30 * time.Second
	// maxStatusConns bounds the connections for readiness checks and metrics.
	maxStatusConns = 64
)

// serveStatus serves readiness checks and metrics until ctx ends.
func (n *Node) serveStatus(ctx context.Context) error {
	addresses := []string{n.ReadyAddress}
	if n.MetricsAddress != "" && n.MetricsAddress != n.ReadyAddress {
		addresses = append(addresses, n.MetricsAddress)
	}
	server := &fasthttp.Server{
		Handler:               n.handleStatus,
		ReadTimeout:           statusTimeout,
		WriteTimeout:          statusTimeout,
		IdleTimeout:           statusIdleTimeout,
		Concurrency:           maxStatusConns,
		NoDefaultServerHeader: true,
	}
	var g errgroup.Group
	for _, address := range addresses {
		l, err := netopt.Listen(ctx, address, statusTimeout)
		if err != nil {
			return errors.Wrapf(err, "listen for readiness checks and metrics on %s", address)
		}
		g.Go(func() error { return serveUntil(ctx, server, l) })
	}
	return g.Wait()
}

// serveUntil serves connections of l until ctx ends.
func serveUntil(ctx context.Context, server *fasthttp.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	err := server.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(err, "serve readiness checks and metrics on %s", l.Addr())
}

// handleStatus answers a readiness check or writes the metrics.
func (n *Node) handleStatus(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case n.ReadyPath:
		if !n.Ready() {
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case metricsPath:
		n.metrics.write(c)
		n.writeGauges(c)
		n.throttle.writeMetrics(c)
		n.quarantine.writeMetrics(c)
		n.silence.writeMetrics(c)
		n.evidence.writeMetrics(c)
		n.writeShareMetrics(c)
		n.rollouts.writeMetrics(c)
		n.writeTableMetrics(c)
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// writeGauges writes the metrics of the daemon's present state.
func (n *Node) writeGauges(c *fasthttp.RequestCtx) {
	all, reachable := n.mesh.CountDaemons()
	open, dials := n.pool.Stats()
	version := int64(0)
	if cfg := n.proxy.Catalog(); cfg != nil {
		version = cfg.Version
	}
	_, _ = fmt.Fprintf(c, "lagoonmux_ready %t\nlagoonmux_config_version %d\nlagoonmux_daemons %d\nlagoonmux_daemons_in_touch %d\n",
		n.Ready(), version, all, reachable)
	_, _ = fmt.Fprintf(c, "lagoonmux_store_era %d\nlagoonmux_fields_ignored_total %d\n", n.upstreamView.Era(), n.proxy.IgnoredFields())
	_, _ = fmt.Fprintf(c, "lagoonmux_store_up_ms %d\nlagoonmux_upstream_connections %d\nlagoonmux_upstream_dials_total %d\nlagoonmux_callers %d\n",
		n.StoreUp().Milliseconds(), open, dials, n.server.Connections())
}

// writeTableMetrics writes how far the copies of the store's tables are behind those of other
// daemons.
func (n *Node) writeTableMetrics(w io.Writer) {
	for _, s := range n.mesh.TableStatuses(boottime.Now()) {
		_, _ = fmt.Fprintf(w, "lagoonmux_table_version{table=%q} %d\nlagoonmux_table_told_version{table=%q} %d\n", s.Name, s.Version, s.Name, s.Told)
		_, _ = fmt.Fprintf(w, "lagoonmux_table_behind_ms{table=%q} %d\nlagoonmux_table_failed_reads_total{table=%q} %d\nlagoonmux_table_bypasses_total{table=%q} %d\n",
			s.Name, s.Behind.Milliseconds(), s.Name, s.FailedReads, s.Name, s.Bypasses)
	}
}
