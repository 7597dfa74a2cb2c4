package ingress

import "time"

// Limits bounds what callers can cost a daemon.
type Limits struct {
	Connections       int           // open at once; further ones are refused with 503
	HeaderBytes       int           // of one request; more is answered with 431
	BodyBytes         int           // of one request; more is answered with 413
	BufferedBodyBytes int64         // declared by all large bodies that are arriving or being served
	PipelinedBytes    int           // received while a request is being answered; more closes the connection
	UnreadBytes       int           // not yet read by a caller; its upstream waits beyond that
	HeaderTimeout     time.Duration // from the first byte of a request to the end of its header
	BodyTimeout       time.Duration // from the header to the end of the body, beside the time at BodyRate
	MinBodyRate       int           // bytes a second that a body must at least arrive with
	IdleTimeout       time.Duration // between two requests
	WriteStallTimeout time.Duration // for a caller that does not read its answer
	DrainGrace        time.Duration // for requests on connections that are open and idle when a drain starts
}

// DefaultLimits returns the limits of a daemon.
func DefaultLimits() Limits {
	return Limits{
		Connections:       20000,
		HeaderBytes:       16 << 10,
		BodyBytes:         64 << 20,
		BufferedBodyBytes: 512 << 20,
		PipelinedBytes:    256 << 10,
		UnreadBytes:       256 << 10,
		HeaderTimeout:     10 * time.Second,
		BodyTimeout:       10 * time.Second,
		MinBodyRate:       64 << 10,
		IdleTimeout:       75 * time.Second,
		WriteStallTimeout: 10 * time.Second,
		DrainGrace:        time.Second,
	}
}
