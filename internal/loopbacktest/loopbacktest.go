// Package loopbacktest finds free loopback addresses for tests that start processes which open their own listening sockets.
package loopbacktest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// FreePorts returns a random loopback address and two ports that are free at this address. A random address is used because
// at 127.0.0.1 a connection of another program could take a port before the process under test listens on it.
func FreePorts() (ip string, first, second int, err error) {
	var config net.ListenConfig
	ip = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	firstListener, err := config.Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", 0, 0, err
	}
	defer func() { err = errors.Join(err, firstListener.Close()) }()
	secondListener, err := config.Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", 0, 0, err
	}
	defer func() { err = errors.Join(err, secondListener.Close()) }()
	return ip, firstListener.Addr().(*net.TCPAddr).Port, secondListener.Addr().(*net.TCPAddr).Port, nil
}
