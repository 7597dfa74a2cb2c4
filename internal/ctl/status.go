package ctl

import (
	"fmt"

	"github.com/lagoonmux/lagoonmux/internal/operator"
)

// printMembers prints tables of the daemons and the upstreams in s.
func (c *Client) printMembers(s *operator.Status) error {
	w := c.newTable()
	fmt.Fprintln(w, "\nDAEMON\tREGION\tZONE\tSTATE\tGENERATION\tLAG MS")
	for _, d := range s.Daemons {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", d.Name, d.Region, d.Zone, d.State, d.Generation, d.LagMS)
	}
	fmt.Fprintln(w, "\nUPSTREAM\tSTATE\tINCARNATION")
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%d\n", u.Name, u.State, u.Incarnation)
	}
	return w.Flush()
}
