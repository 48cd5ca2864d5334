package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["tenants"] = tenantsCase
}

const (
	// tenantsApply is configApplyMs.
	tenantsApply = 2500 * time.Millisecond
	// tenantsRequests is the number of requests with each key after the change.
	tenantsRequests = 20
)

func tenantsDocument(version int, tenants string) string {
	return fmt.Sprintf(`{"version":%d,
"routes":[{"name":"r-orders","host":"shop.example","pathPrefix":"/orders/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":400,
"priority":2,"service":"order-desk","maxAttempts":1,"retainContext":false,"retentionS":60.0,"allowAnonymous":false,"sticky":false,"resumable":false}],
"services":[{"name":"order-desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[%s]}`, version, tenants)
}

// tenantsCase takes away the two keys of a deployment by removing its two tenants. Rule ROUTE: a request runs whose
// key no desired state ever held. The requests with the dropped keys, which may not run either, count too.
func tenantsCase(rec *recorder) (bool, error) {
	list, err := newCloud()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	run := func(w *worker, out http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("Request-Id")
		rec.add("worker %s runs %s of tenant %q", w.id, id, r.Header.Get("Tenant"))
		mu.Lock()
		ran[id] = true
		mu.Unlock()
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
	both := `{"name":"tenant-a","apiKeys":["key-a"],"priority":1,"ratePerS":276,"burst":276},
{"name":"tenant-b","apiKeys":["key-b"],"priority":1,"ratePerS":276,"burst":276}`
	if status, err := f.put(7, tenantsDocument(7, both)); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the desired state was answered %d: %w", status, err)
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // all machines are in touch, and the list is read

	send := func(gateway int, id, key string) int {
		return f.send(gateway, request{id: id, path: "/orders/1", key: key, body: `{"order":1}`})
	}
	// Before the change both keys are valid, and a key that nobody holds is refused.
	for i := range f.gateways {
		for _, key := range []string{"key-a", "key-b"} {
			if status := send(i, fmt.Sprintf("before-%d-%s", i, key), key); status != http.StatusOK {
				return false, fmt.Errorf("a request with %s was answered %d before the change", key, status)
			}
		}
		if status := send(i, fmt.Sprintf("before-%d-none", i), "key-of-nobody"); status != http.StatusUnauthorized {
			return false, fmt.Errorf("a request with an unknown key was answered %d before the change", status)
		}
	}
	// Without the disruption, the same number of keys is exchanged.
	next, dropped := "", []string{"key-a", "key-b"}
	if !trouble() {
		next = strings.NewReplacer("key-a", "key-c", "key-b", "key-d").Replace(both)
	}
	if status, err := f.put(11, tenantsDocument(11, next)); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the change was answered %d: %w", status, err)
	}
	time.Sleep(tenantsApply + time.Second)
	var after []string
	for i := range tenantsRequests {
		for _, key := range append(dropped, "key-of-nobody") {
			id := fmt.Sprintf("after-%d-%s", i, key)
			after = append(after, id)
			send(i, id, key)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for _, id := range after {
		if ran[id] {
			broken++
		}
	}
	rec.add("%d of %d requests with dropped or unknown keys were run", broken, len(after))
	fmt.Printf("ROUTE: %d of %d requests with dropped or unknown keys were run\n", broken, len(after))
	return broken > 0, nil
}
