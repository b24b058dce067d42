package main

import (
	"net"
	"sync"
	"time"
)

// link is a proxy between a runner and its agent. It carries the bytes of a connection late, by the delay that was set when
// the connection was made. Like a network, it also delivers what the sender has sent before it gave the connection up.
type link struct {
	record   *record
	listener net.Listener
	target   string
	mutex    sync.Mutex
	delay    time.Duration
}

func newLink(r *record, address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{record: r, listener: listener, target: target}
	go l.accept()
	return l, nil
}

func (l *link) setDelay(delay time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.delay = delay
	l.record.log("link: connections made from now on are %v late", delay)
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mutex.Lock()
		delay := l.delay
		l.mutex.Unlock()
		go l.carry(conn, delay)
	}
}

// carry reads what the runner sends, and forwards it to the agent when the delay is over. It returns the agent's bytes.
func (l *link) carry(conn net.Conn, delay time.Duration) {
	defer conn.Close()
	var mutex sync.Mutex
	var held []byte
	var agent net.Conn
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			count, err := conn.Read(buffer)
			mutex.Lock()
			if agent != nil {
				_, _ = agent.Write(buffer[:count])
			} else {
				held = append(held, buffer[:count]...)
			}
			mutex.Unlock()
			if err != nil {
				return
			}
		}
	}()
	time.Sleep(delay)
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer to.Close()
	mutex.Lock()
	if delay > 0 {
		l.record.log("link: %d bytes arrive at the agent, %v late", len(held), delay)
	}
	_, _ = to.Write(held)
	agent = to
	mutex.Unlock()
	buffer := make([]byte, 64<<10)
	for {
		_ = to.SetReadDeadline(time.Now().Add(5 * time.Second))
		count, err := to.Read(buffer)
		if count > 0 {
			if delay > 0 {
				l.record.log("link: the agent answers %.60q", buffer[:count])
			}
			_, _ = conn.Write(buffer[:count])
		}
		if err != nil {
			return
		}
	}
}
