// Package loopbacktest finds addresses of loopback for tests that start processes which listen by themselves.
package loopbacktest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// FreePorts returns an address of loopback drawn at random, and two ports of it that nobody uses. At 127.0.0.1 another
// program's connection could take a port before the process under test listens at it.
func FreePorts() (ip string, first, second int, err error) {
	var config net.ListenConfig
	ip = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	one, err := config.Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", 0, 0, err
	}
	defer func() { err = errors.Join(err, one.Close()) }()
	two, err := config.Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", 0, 0, err
	}
	defer func() { err = errors.Join(err, two.Close()) }()
	return ip, one.Addr().(*net.TCPAddr).Port, two.Addr().(*net.TCPAddr).Port, nil
}
