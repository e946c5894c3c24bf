package metrics

import (
	"fmt"
	"io"
	"runtime/metrics"
)

// Memory is the memory of this process as the Go runtime knows it, in bytes. It lacks what the kernel holds
// for the process, such as received bytes that it has not read.
type Memory struct {
	Total  int64 // mapped by the runtime and not returned to the operating system
	Heap   int64 // objects, live or not collected yet
	Stacks int64
}

// Names of the runtime's metrics. The total includes the memory that was released.
const (
	memoryTotal    = "/memory/classes/total:bytes"
	memoryReleased = "/memory/classes/heap/released:bytes"
	memoryObjects  = "/memory/classes/heap/objects:bytes"
	memoryStacks   = "/memory/classes/heap/stacks:bytes"
)

// ReadMemory returns the memory of this process.
func ReadMemory() Memory {
	samples := [...]metrics.Sample{{Name: memoryTotal}, {Name: memoryReleased}, {Name: memoryObjects}, {Name: memoryStacks}}
	metrics.Read(samples[:])
	value := func(i int) int64 { return int64(samples[i].Value.Uint64()) }
	return Memory{Total: value(0) - value(1), Heap: value(2), Stacks: value(3)}
}

// Holder is what holds memory of this process, as far as it is counted.
type Holder struct {
	OpenRequests int64 // of callers
	BodyBytes    int64 // of the bodies of these requests
}

// SetMemory sets the functions that return the memory limit of this process in bytes, 0 if unknown, and what
// holds memory. It is called before the metrics are served.
func (g *Gateway) SetMemory(limit func() int64, holder func() Holder) {
	g.memoryLimit, g.holder = limit, holder
}

func (g *Gateway) writeMemory(w io.Writer) {
	m, held, limit := ReadMemory(), Holder{}, int64(0)
	if g.holder != nil {
		held, limit = g.holder(), g.memoryLimit()
	}
	for _, gauge := range []struct {
		name  string
		value int64
	}{
		{"memory_bytes", m.Total}, {"memory_heap_bytes", m.Heap}, {"memory_stack_bytes", m.Stacks}, {"memory_limit_bytes", limit},
		{"caller_requests", held.OpenRequests}, {"caller_body_bytes", held.BodyBytes},
	} {
		fmt.Fprintf(w, "%s%s %d\n", prefix, gauge.name, gauge.value)
	}
}
