package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["query"] = queryCase
}

const (
	// crashEvery is the time between two attempts of the request that crashes workers, and
	// crashAttempts their number.
	crashEvery    = 2 * time.Second
	crashAttempts = 36
	// workerDown is how long a crashed worker is away.
	workerDown = 3 * time.Second
	// window is connectivityWindowMs.
	window = 3 * time.Second
	// maxLate is the number of retries that may reach workers so late.
	maxLate = 3
)

const crashDocument = `{"version":7,
"routes":[{"name":"r-orders","host":"shop.example","pathPrefix":"/orders/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":400,
"priority":2,"service":"order-desk","maxAttempts":1,"retainContext":false,"retentionS":60.0,"allowAnonymous":false,"sticky":false,"resumable":false},
{"name":"r-lookups","host":"shop.example","pathPrefix":"/lookups/","kind":"idempotent","timeoutMs":1200,"targetLatencyMs":150,
"priority":2,"service":"order-desk","maxAttempts":1,"retainContext":false,"retentionS":60.0,"allowAnonymous":false,"sticky":false,"resumable":false}],
"services":[{"name":"order-desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1,"ratePerS":276,"burst":276}]}`

// crashTraffic is the traffic of a case with a request that crashes workers.
type crashTraffic struct {
	// crashing is the request, and sound the one of another client that harms no worker.
	crashing request
	sound    func(i int) request
	// soundEvery is the time between two sound requests.
	soundEvery time.Duration
}

// queryCase sends the request beside sound ones that differ from it in their query.
func queryCase(rec *recorder) (bool, error) {
	return crashCase(rec, crashTraffic{
		crashing: request{method: http.MethodGet, path: "/lookups/item?number=4711"},
		sound: func(i int) request {
			return request{method: http.MethodGet, path: fmt.Sprintf("/lookups/item?number=%d", i)}
		},
		soundEvery: 40 * time.Millisecond,
	})
}

// crashCase sends a request that crashes each worker that runs it again and again, through one gateway
// after another. Rule BUDGET: more than three retries reach workers later than connectivityWindowMs after it has
// crashed the third.
func crashCase(rec *recorder, traffic crashTraffic) (bool, error) {
	list, err := newCloud()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var crashed []time.Time
	sentAt := map[string]time.Time{}
	late, lost := 0, 0
	run := func(w *worker, out http.ResponseWriter, r *http.Request, body []byte) {
		id := r.Header.Get("Request-Id")
		rec.add("worker %s runs %s", w.id, id)
		if r.RequestURI == traffic.crashing.path && string(body) == traffic.crashing.body {
			mu.Lock()
			if len(crashed) >= 3 && sentAt[id].After(crashed[2].Add(window)) {
				late++
			}
			mu.Unlock()
			if trouble() {
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				crashed = append(crashed, time.Now())
				mu.Unlock()
				w.crash(workerDown)
				return
			}
		}
		time.Sleep(60 * time.Millisecond)
		answer(out, "done "+id)
	}
	for i := range 6 {
		if _, err := startWorker(list, rec, "order-desk", zones[i%len(zones)], 6, run); err != nil {
			return false, err
		}
	}
	f, err := newFleet(rec, list.address, 6, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return false, err
	}
	if status, err := f.put(7, crashDocument); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the desired state was answered %d: %w", status, err)
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(window + 2*time.Second) // all machines are in touch, and the list is read

	send := func(gateway int, id string, q request) int {
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		q.id, q.key = id, "key-a"
		return f.send(gateway, q)
	}
	var clients sync.WaitGroup
	ended := make(chan struct{})
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(traffic.soundEvery):
			}
			clients.Go(func() {
				if status := send(i*5+3, fmt.Sprintf("sound-%d", i), traffic.sound(i)); status != http.StatusOK {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			})
		}
	})
	for i := range crashAttempts {
		clients.Go(func() { send(i, fmt.Sprintf("crash-%d", i), traffic.crashing) })
		time.Sleep(crashEvery)
	}
	close(ended)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.add("the request crashed %d workers; %d retries reached workers later than %v after the third crash; %d other requests were not answered with 200",
		len(crashed), late, window, lost)
	fmt.Printf("BUDGET: %d crashes, %d late retries reached workers (3 allowed), %d other requests not served\n", len(crashed), late, lost)
	return late > maxLate && len(crashed) > 0, nil
}
