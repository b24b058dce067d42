package administration

import (
	"context"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/transport"
)

// Drain requests a control process, given by its node or its internal address, to transfer its leaderships. It returns the
// number of leaderships that the process could not transfer in time. It fails with Invalid if no such process answers.
func (c *Client) Drain(ctx context.Context, node string) (remaining int, err error) {
	reports, err := c.Reports(ctx)
	if err != nil {
		return 0, err
	}
	var names []string
	for i := range reports {
		if reports[i].Node != node && reports[i].Address != node {
			names = append(names, reports[i].Node)
			continue
		}
		response, err := transport.Call[ResignRequest, ResignResponse](ctx, c.transport, reports[i].Address, &ResignRequest{})
		if err != nil {
			return 0, err
		}
		return response.Left, nil
	}
	return 0, failure.Newf(failure.Invalid, "no control process %q answers; there are %q", node, names)
}
