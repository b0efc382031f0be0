// Package crowd holds tests of a VM, as a process, whose callers do not stay inside the limits.
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// clients is the size of each crowd. One in wholeEvery sends its request to the end.
	clients, wholeEvery = 480, 16
	// bodyBytes is the longest body that the desired state allows.
	bodyBytes = 256 << 10
	// farOver is what clients announce or send that are far over the limit.
	farOver = 64 << 20
	// sendLimit is how long a client tries to send. A VM may leave bytes unread.
	sendLimit = 3 * time.Second
	// ordinaryTries is how often an ordinary caller sends its request, a second after it was refused.
	ordinaryTries = 20
)

// client is one of a crowd.
type client struct {
	conn net.Conn
	id   int
}

// write sends bytes. A VM may close the connection at any time.
func (c *client) write(b []byte) bool {
	_, err := c.conn.Write(b)
	return err == nil
}

func (c *client) header(framing string) bool {
	return c.write(fmt.Appendf(nil, "POST /swap/%016x HTTP/1.1\r\nHost: swap.example\r\nContent-Type: application/json\r\nSequoiacart-Deadline-Ms: 60000\r\n%s\r\n\r\n", c.id, framing))
}

// sent is how much of its body a client sends.
func (c *client) sent() int {
	if c.id%wholeEvery == 0 {
		return bodyBytes
	}
	return bodyBytes - 1
}

// body is a job of legal size.
func body() []byte {
	begin, end := []byte(`{"best_effort":true,"steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":1}],"task_spec":"`), []byte(`"}`)
	return append(append(begin, bytes.Repeat([]byte("x"), bodyBytes-len(begin)-len(end))...), end...)
}

// inPieces sends a body of known length in pieces of the given size.
func inPieces(size int) func(*client, []byte) {
	return func(c *client, b []byte) {
		ok := c.header(fmt.Sprintf("Content-Length: %d", len(b)))
		for rest := b[:c.sent()]; ok && len(rest) > 0; {
			n := min(size, len(rest))
			ok = c.write(rest[:n])
			rest = rest[n:]
		}
	}
}

// inChunks sends a chunked body in chunks of the given size.
func inChunks(size int) func(*client, []byte) {
	return func(c *client, b []byte) {
		if !c.header("Transfer-Encoding: chunked") {
			return
		}
		var framed []byte
		for rest := b[:c.sent()]; len(rest) > 0; {
			n := min(size, len(rest))
			framed = append(fmt.Appendf(framed, "%x\r\n", n), rest[:n]...)
			framed = append(framed, "\r\n"...)
			rest = rest[n:]
		}
		if c.sent() == len(b) {
			framed = append(framed, "0\r\n\r\n"...)
		}
		c.write(framed)
	}
}

func announcedFarOver(c *client, b []byte) {
	ok := c.header(fmt.Sprintf("Content-Length: %d", farOver))
	for sent := 0; ok && sent < farOver; sent += len(b) {
		ok = c.write(b)
	}
}

func sentFarOver(c *client, b []byte) {
	ok := c.header("Transfer-Encoding: chunked")
	chunk := append(append(fmt.Appendf(nil, "%x\r\n", len(b)), b...), "\r\n"...)
	for sent := 0; ok && sent < farOver; sent += len(b) {
		ok = c.write(chunk)
	}
}

// onlyHeaders stops before the end of the headers.
func onlyHeaders(c *client, _ []byte) {
	c.write([]byte("POST /swap/0000000000000001 HTTP/1.1\r\nHost: swap.example\r\nX-Filler: "))
	c.write(bytes.Repeat([]byte("x"), 12<<10))
}

// Guards against clients outside the limits that end the process, take the memory or the descriptors of its VM, or
// keep ordinary callers from being answered: crowds that stop just short of the end of their requests and stay
// connected, or send far more than is allowed.
func TestCrowdsOfClients(t *testing.T) {
	program := build(t)
	for _, tt := range []struct {
		name string
		send func(*client, []byte)
	}{
		{"whole bodies", inPieces(bodyBytes)},
		{"bodies piece by piece", inPieces(4 << 10)},
		{"large chunks", inChunks(64 << 10)},
		{"small chunks", inChunks(64)},
		{"announced far over the limit", announcedFarOver},
		{"sent far over the limit", sentFarOver},
		{"headers without an end", onlyHeaders},
	} {
		t.Run(tt.name, func(t *testing.T) {
			vm := newDeployment(t, program, 1, fewEndpoints).vms[0]
			atRest := vm.peakMemory(t)
			open := gather(t, vm.callers, tt.send)
			vm.checkAlive(t)
			if status := ordinaryRequest(vm.callers, isOK); status != http.StatusOK {
				t.Errorf("got status %d of an ordinary request beside the crowd, want 200", status)
			}
			for _, c := range open {
				_ = c.Close()
			}
			vm.checkServes(t)
			t.Logf("peak %d MB, %d MB before, %d descriptors", vm.peakMemory(t)>>20, atRest>>20, vm.mostDescriptors.Load())
		})
	}
}

// checkAlive checks that the process lives within its bounds.
func (n *node) checkAlive(t *testing.T) {
	t.Helper()
	if n.hasExited() {
		t.Fatal("got a process that has ended, want it to serve")
	}
	if got, want := n.mostDescriptors.Load(), int64(openFiles); got > want {
		t.Errorf("got %d descriptors, want %d at most", got, want)
	}
	if got, want := n.peakMemory(t), int64(memoryMB<<20); got > want {
		t.Errorf("got a peak of %d MB, want %d at most", got>>20, want>>20)
	}
}

// checkServes checks that the VM serves an ordinary caller once a crowd has left, and has stayed within its bounds.
func (n *node) checkServes(t *testing.T) {
	t.Helper()
	if status := ordinaryRequest(n.callers, isOK); status != http.StatusOK {
		t.Errorf("got status %d of an ordinary request after the crowd, want 200", status)
	}
	n.checkAlive(t)
}

// gather lets a crowd of clients send at once, and returns their connections, which stay open.
func gather(t *testing.T, address string, send func(*client, []byte)) []net.Conn {
	t.Helper()
	var mu sync.Mutex
	var open []net.Conn
	var wait sync.WaitGroup
	b := body()
	for i := range clients {
		wait.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			// A deadline that cannot be set means that the connection is closed, which the write shows.
			_ = conn.SetWriteDeadline(time.Now().Add(sendLimit))
			send(&client{conn: conn, id: i + 1}, b)
		})
	}
	wait.Wait()
	return open
}

func isOK(status int) bool { return status == http.StatusOK }

// ordinaryRequest sends an ordinary job until the status of the answer is enough, and returns the last status, or 0
// without an answer.
func ordinaryRequest(address string, isEnough func(status int) bool) (status int) {
	payload := `{"task_spec":"{\"runMs\":10,\"milliCores\":1000}","best_effort":true,"steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":10}]}`
	for try := range ordinaryTries {
		if try > 0 {
			time.Sleep(time.Second)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/swap/%016x", address, 1<<32+try), bytes.NewReader([]byte(payload)))
		if err != nil {
			cancel()
			return 0
		}
		r.Host = "swap.example"
		r.Header.Set("Sequoiacart-Deadline-Ms", "4000")
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(r)
		status = 0
		if err == nil {
			status = response.StatusCode
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		cancel()
		if isEnough(status) {
			break
		}
	}
	return status
}
