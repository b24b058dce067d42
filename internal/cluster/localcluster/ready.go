package localcluster

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/protocol"
)

const (
	readyTimeout      = time.Minute            // from the start of a system until all frontends are ready
	readyPollInterval = 100 * time.Millisecond // between two attempts of poll
	requestTimeout    = time.Second            // of one request to a control process or frontend
)

// controlAddresses returns the internal addresses of the control processes.
func (s *system) controlAddresses() []string {
	var addresses []string
	for _, m := range withRole(s.machines, boot.RoleControl) {
		addresses = append(addresses, m.address(internalPort))
	}
	return addresses
}

// becomeReady waits until the configuration's shard has an owner, applies the first configuration if there is none, and
// waits until all frontends report that they are ready.
func (s *system) becomeReady(ctx context.Context) error {
	if err := s.configure(ctx); err != nil {
		return err
	}
	for _, m := range withRole(s.machines, boot.RoleFrontend) {
		url := "http://" + m.address(readinessPort) + "/v1/readiness"
		err := poll(ctx, func() error { return checkReadiness(ctx, url) })
		if err != nil {
			return errors.Wrap(err, m.name)
		}
	}
	return nil
}

// configure applies the first configuration if the system has none. It repeats failed requests until ctx ends.
func (s *system) configure(ctx context.Context) error {
	client, err := administration.Dial(s.controlAddresses())
	if err != nil {
		return err
	}
	defer client.Close()
	return poll(ctx, func() error {
		attempt, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		version, _, err := client.ReadConfiguration(attempt)
		if err != nil || version > 0 {
			return err
		}
		_, err = client.Configure(attempt, protocol.ConfigurationReplace, 0, []byte(firstConfiguration))
		return err
	})
}

// poll repeats attempt every readyPollInterval until it succeeds or ctx ends. It returns the last error, or nil after
// success.
func poll(ctx context.Context, attempt func() error) error {
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readyPollInterval):
		}
	}
}

// checkReadiness returns an error unless the frontend with this readiness URL responds that it is ready.
func checkReadiness(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s responds with status %s", url, response.Status)
	}
	return nil
}
