package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["entry"] = entryCase
}

// entryRequests is the number of orders, and entryEvery the time between two of them.
const (
	entryRequests = 120
	entryEvery    = 100 * time.Millisecond
)

const entryDocument = `{"version":7,
"routes":[{"name":"r-orders","host":"shop.example","pathPrefix":"/orders/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":400,
"priority":2,"service":"order-desk","maxAttempts":1,"retainContext":false,"retentionS":60.0,"allowAnonymous":false,"sticky":false,"resumable":false},
{"name":"r-prints","host":"shop.example","pathPrefix":"/prints/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":400,
"priority":2,"service":"print-desk","maxAttempts":1,"retainContext":false,"retentionS":60.0,"allowAnonymous":false,"sticky":false,"resumable":false}],
"services":[{"name":"order-desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false},
{"name":"print-desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1,"ratePerS":276,"burst":276}]}`

// entryCase adds an entry of another writer, which lacks fields, to the platform's list. Rule ROUTE: a request is
// run by a service to which no desired state allows it to go.
func entryCase(rec *recorder) (bool, error) {
	list, err := newCloud()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	strayed := 0
	run := func(w *worker, out http.ResponseWriter, r *http.Request, _ []byte) {
		rec.add("worker %s of %s runs %s %s", w.id, w.service, r.Header.Get("Request-Id"), r.URL.Path)
		if (w.service == "print-desk") != (r.URL.Path == "/prints/1") {
			mu.Lock()
			strayed++
			mu.Unlock()
		}
		time.Sleep(60 * time.Millisecond)
		answer(out, "done")
	}
	var prints *worker
	for i := range 6 {
		if _, err := startWorker(list, rec, "order-desk", zones[i%len(zones)], 6, run); err != nil {
			return false, err
		}
		if prints, err = startWorker(list, rec, "print-desk", zones[i%len(zones)], 6, run); err != nil {
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
	if status, err := f.put(7, entryDocument); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the desired state was answered %d: %w", status, err)
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	if trouble() {
		// Version, slots and coldRemainingMs are missing.
		odd := map[string]any{"id": prints.id, "service": "order-desk", "address": prints.address, "zone": prints.zone, "state": "ready"}
		list.addOdd(odd)
		rec.add("another writer adds the entry %v to the list", odd)
	}
	time.Sleep(5 * time.Second) // all machines are in touch, and the list is read
	var clients sync.WaitGroup
	statuses := map[int]int{}
	for i := range entryRequests {
		clients.Go(func() {
			status := f.send(i, request{id: fmt.Sprintf("order-%d", i), path: "/orders/1", key: "key-a", body: `{"order":1}`})
			mu.Lock()
			statuses[status]++
			mu.Unlock()
		})
		time.Sleep(entryEvery)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.add("%d of %d orders were run by print-desk; answers by status: %v", strayed, entryRequests, statuses)
	fmt.Printf("ROUTE: %d of %d orders were run by another service\n", strayed, entryRequests)
	return strayed > 0, nil
}
