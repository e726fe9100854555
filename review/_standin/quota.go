package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	quotaRegions   = 3
	storeRegion    = 0
	hostsPerRegion = 9
	quotaRate      = 100.0
	quotaBurst     = 100.0
	quotaWindow    = 5 * time.Second
	// quotaBound is what may run in a window: (rate x window + burst) x 1.1 + 20.
	quotaBound = int((quotaRate*5+quotaBurst)*1.1 + 20)
	// hostDemand is the number of requests a second that clients send to each host.
	hostDemand = 14
	// workersPerRegion is the number of workers, each with six slots.
	workersPerRegion = 6
	// lapseTime is three ping intervals, after which the entry of a silent worker goes.
	lapseTime = 4500 * time.Millisecond
	// warmUp is how long all regions are connected first, cutTime how long one is cut off.
	warmUp  = 12 * time.Second
	cutTime = 65 * time.Second
)

// quotaPartition: while a region is cut off from the others, a tenant must not get more
// than its quota from all hosts together.
func quotaPartition(w *world) ([]string, error) {
	w.regions = map[string]string{}
	for i := range quotaRegions {
		w.regions[zoneName(i)] = regionName(i)
	}
	if err := w.chooseNetwork(quotaRegions * hostsPerRegion); err != nil {
		return nil, err
	}
	n := &regionNet{world: w, relays: map[string]*regionRelay{}}
	w.store.view = n.rewrite
	w.putConfig(7, quotaRate, quotaBurst, pathRoute{name: "r-lookup", prefix: "/lookup/", kind: "idempotent", service: "rota-viewer", timeoutS: 2.5, goalS: 0.3, maxAttempts: 2})
	var mu sync.Mutex
	var runs []time.Duration
	for i := range quotaRegions {
		for j := range workersPerRegion {
			k, err := startWorker(workerName(i, j), func(conn net.Conn, r *http.Request) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				mu.Lock()
				runs = append(runs, time.Since(w.record.start))
				mu.Unlock()
				time.Sleep(40 * time.Millisecond)
				answer := []byte("altar\n")
				writeAnswer(conn, r, http.StatusOK, signature(answer)+"Server-Load: 1,0,6\r\n", answer)
				return true
			})
			if err != nil {
				return nil, err
			}
			w.register(k.id, "rota-viewer", zoneName(i), k.address, 6, time.Now())
		}
	}
	if err := n.startHosts(); err != nil {
		return nil, err
	}
	if err := w.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sent atomic.Int64
	for _, h := range w.hosts {
		clients.Go(func() { demand(h, &sent, stop) })
	}
	time.Sleep(warmUp)
	cutAt := time.Since(w.record.start)
	if w.trouble {
		if err := n.setCut(true); err != nil {
			return nil, err
		}
		w.record.printf("%s, where the store stands, and the other regions lose each other for %v", regionName(storeRegion), cutTime)
		time.AfterFunc(lapseTime, func() {
			// The workers behind the cut do not reach the store.
			for i := range quotaRegions {
				for j := range workersPerRegion {
					if i != storeRegion {
						w.store.remove("servers", workerName(i, j))
					}
				}
			}
		})
	}
	time.Sleep(cutTime)
	if w.trouble {
		if err := n.setCut(false); err != nil {
			return nil, err
		}
		w.record.printf("the cut ends")
	}
	close(stop)
	clients.Wait()
	w.record.printf("%d requests sent, %d run", sent.Load(), len(runs))
	return quotaBreaches(w, runs, cutAt), nil
}

// quotaBreaches returns the sliding windows in which more ran than the bound allows.
func quotaBreaches(w *world, runs []time.Duration, cutAt time.Duration) []string {
	sort.Slice(runs, func(i, j int) bool { return runs[i] < runs[j] })
	second := map[int]int{}
	for _, at := range runs {
		second[int(at/time.Second)]++
	}
	for s := 0; s < int(runs[len(runs)-1]/time.Second); s++ {
		w.record.printf("second %d: %d run", s, second[s])
	}
	worst, worstAt, first := 0, time.Duration(0), time.Duration(0)
	begin := 0
	for end := range runs {
		for runs[end]-runs[begin] > quotaWindow {
			begin++
		}
		if n := end - begin + 1; n > worst {
			worst, worstAt = n, runs[begin]
		}
		if end-begin+1 > quotaBound && first == 0 {
			first = runs[end]
		}
	}
	w.record.printf("most in %v: %d from %v on, bound %d", quotaWindow, worst, worstAt, quotaBound)
	if worst <= quotaBound {
		return nil
	}
	return []string{fmt.Sprintf("%d requests of the tenant ran in %v, %d are allowed; first at %v, %v after the cut", worst, quotaWindow, quotaBound, first, first-cutAt)}
}

func workerName(region, n int) string { return fmt.Sprintf("i-%d-%d", region, n) }

func zoneName(i int) string   { return []string{"colombo", "kandy", "galle"}[i] }
func regionName(i int) string { return []string{"western", "central", "southern"}[i] }

// regionNet puts relays between the region of the store and the others. While it is cut, nothing
// passes the open connections of the relays, and new ones are refused.
type regionNet struct {
	*world
	cut atomic.Bool
	mu  sync.Mutex
	// relays holds the relay in front of each address.
	relays map[string]*regionRelay
}

type regionRelay struct {
	target   string
	listener net.Listener
}

// setCut begins or ends the cut.
func (n *regionNet) setCut(cut bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut.Store(cut)
	for _, r := range n.relays {
		if cut {
			_ = r.listener.Close()
			continue
		}
		l, err := net.Listen("tcp", r.listener.Addr().String())
		if err != nil {
			return err
		}
		r.listener = l
		go n.accept(l, r.target)
	}
	return nil
}

// startHosts starts the hosts of all regions. The store stands in the first region.
func (n *regionNet) startHosts() error {
	for i := range quotaRegions {
		address, err := n.store.listen(regionName(i))
		if err != nil {
			return err
		}
		if i != storeRegion {
			address = n.relayTo(address)
		}
		for range hostsPerRegion {
			if _, err := n.startHost(hostOptions{zone: zoneName(i), region: regionName(i), store: address, bounds: bounds(), cores: 1}); err != nil {
				return err
			}
		}
	}
	return nil
}

// rewrite replaces the addresses in the rows of hosts and workers by those of relays where
// reader and target are on different sides of the cut.
func (n *regionNet) rewrite(reader, table, key string, value []byte) []byte {
	var row map[string]any
	if json.Unmarshal(value, &row) != nil {
		return value
	}
	field, region := "", ""
	switch {
	case table == "servers":
		info, _ := row["info"].(map[string]any)
		zone, _ := info["zone"].(string)
		field, region = "address", n.regions[zone]
	case table == "celerypin" && strings.HasPrefix(key, "host/"):
		region, _ = row["region"].(string)
		field = "peer_address"
	default:
		return value
	}
	apart := regionName(storeRegion)
	if (reader == apart) == (region == apart) {
		return value
	}
	address, _ := row[field].(string)
	row[field] = n.relayTo(address)
	out, err := json.Marshal(row)
	if err != nil {
		return value
	}
	return out
}

// relayTo returns the address of a relay in front of an address.
func (n *regionNet) relayTo(target string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.relays[target]; known != nil {
		return known.listener.Addr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return target
	}
	n.relays[target] = &regionRelay{target, l}
	if n.cut.Load() {
		_ = l.Close()
	} else {
		go n.accept(l, target)
	}
	return l.Addr().String()
}

func (n *regionNet) accept(l net.Listener, target string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go n.relay(conn, target)
	}
}

// relay forwards one connection. If anything arrives during the cut, it is dropped and
// the connection stays silent, as behind a partition.
func (n *regionNet) relay(conn net.Conn, target string) {
	defer conn.Close()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	var silent atomic.Bool
	forward := func(dst, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			count, err := src.Read(buffer)
			if n.cut.Load() {
				silent.Store(true)
			}
			if err != nil {
				if !silent.Load() {
					_ = dst.Close()
				}
				return
			}
			if !silent.Load() {
				_, _ = dst.Write(buffer[:count])
			}
		}
	}
	done := make(chan struct{})
	go func() {
		forward(conn, out)
		close(done)
	}()
	forward(out, conn)
	<-done
}

// demand sends requests to one host, at a steady rate on a few kept channels.
func demand(h *host, sent *atomic.Int64, stop <-chan struct{}) {
	const channels = 4
	var senders sync.WaitGroup
	for i := range channels {
		senders.Go(func() {
			ticker := time.NewTicker(time.Second * channels / hostDemand)
			defer ticker.Stop()
			var conn net.Conn
			var in *bufio.Reader
			for n := 0; ; n++ {
				select {
				case <-stop:
					if conn != nil {
						_ = conn.Close()
					}
					return
				case <-ticker.C:
				}
				if conn == nil {
					var err error
					if conn, err = net.DialTimeout("tcp", h.address(frontPort), time.Second); err != nil {
						conn = nil
						continue
					}
					in = bufio.NewReader(conn)
				}
				_ = conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
				sent.Add(1)
				_, _ = fmt.Fprintf(conn, "GET /lookup/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: q-%s-%d-%d\r\nAffinity-Key: %d\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n\r\n", n, virtualHost, h.name, i, n, rand.IntN(51), tenantKey)
				response, err := http.ReadResponse(in, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
				}
				if err != nil || response.Close {
					_ = conn.Close()
					conn = nil
				}
			}
		})
	}
	senders.Wait()
}
