package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// testEventEnd ends the events of these tests unless they say otherwise.
const testEventEnd = "\n\n"

var _ = Describe("the buffer of a stream's events", func() {
	It("returns events once they are complete", func() {
		var b eventBuffer
		for _, step := range []struct {
			piece, events string
			count         int
			rest          string
		}{
			{"id: 1\nda", "", 0, "id: 1\nda"}, {"ta: a\n", "", 0, "id: 1\ndata: a\n"}, {"\nid", "id: 1\ndata: a\n\n", 1, "id"},
			{": 2\n\nid: 3\n\n\n", "id: 2\n\nid: 3\n\n", 2, "\n"}, {"\n", "\n\n", 1, ""}, {"", "", 0, ""}, {"x", "", 0, "x"},
		} {
			events, count, err := b.add([]byte(step.piece))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(events)).To(Equal(step.events))
			Expect(count).To(Equal(step.count))
			Expect(string(b.rest())).To(Equal(step.rest))
		}
	})

	// Guards against events that are lost, joined or sent twice because of how the network cut the stream.
	It("returns the same events wherever the stream is cut into pieces", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			stream := []byte(rapid.StringOfN(rapid.SampledFrom([]rune{'\n', '\n', 'a', 'i'}), 0, 200, -1).Draw(t, "stream"))
			var whole eventBuffer
			expected, expectedCount, err := whole.add(stream)
			if err != nil || expectedCount != bytes.Count(stream, []byte(testEventEnd)) {
				t.Fatalf("%d events, %v", expectedCount, err)
			}
			var b eventBuffer
			var got []byte
			count := 0
			for len(stream) > 0 {
				n := rapid.IntRange(1, len(stream)).Draw(t, "piece")
				events, newEvents, err := b.add(stream[:n])
				if err != nil || bytes.Count(events, []byte(testEventEnd)) != newEvents || (newEvents > 0) != bytes.HasSuffix(events, []byte(testEventEnd)) {
					t.Fatalf("%d events in %q, %v", newEvents, events, err)
				}
				got, count, stream = append(got, events...), count+newEvents, stream[n:]
			}
			if !bytes.Equal(got, expected) || count != expectedCount || !bytes.Equal(b.rest(), whole.rest()) {
				t.Fatalf("%d events %q and %q, not %d events %q and %q", count, got, b.rest(), expectedCount, expected, whole.rest())
			}
		})
	})

	// Guards against events that are held back until the end of the stream, as their lines do not end with LF alone.
	DescribeTable("returns events as they are complete, however their lines end", func(end string) {
		event := func(id string) string { return "id: " + id + end + "data: a" + end + end }
		var b eventBuffer
		var got string
		for _, id := range []string{"1", "2", "3"} {
			events, count, err := b.add([]byte(event(id)))
			Expect(err).NotTo(HaveOccurred())
			Expect(count).To(Equal(1))
			got += string(events)
			last, found := findLastEventID(events)
			Expect(found).To(BeTrue())
			Expect(last).To(Equal(id))
		}
		Expect(got).To(Equal(event("1") + event("2") + event("3")))
		Expect(b.rest()).To(BeEmpty())
	}, Entry("LF", "\n"), Entry("CR LF", "\r\n"), Entry("CR", "\r"))

	// Guards against bytes that are lost or held back at the ends of lines, wherever the stream is cut.
	It("passes on all bytes of a stream with any ends of lines, and holds back no complete event", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			stream := rapid.StringOfN(rapid.SampledFrom([]rune{'\n', '\r', 'a', 'i'}), 0, 200, -1).Draw(t, "stream")
			var b eventBuffer
			got := ""
			for at := 0; at < len(stream); {
				n := rapid.IntRange(1, len(stream)-at).Draw(t, "piece")
				events, count, err := b.add([]byte(stream[at : at+n]))
				if err != nil || (count > 0) != (len(events) > 0) {
					t.Fatalf("%d events in %q, %v", count, events, err)
				}
				got, at = got+string(events), at+n
			}
			if got+string(b.rest()) != stream {
				t.Fatalf("%q and %q of %q", got, b.rest(), stream)
			}
			if lines := strings.Split(strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(string(b.rest())), "\n"); len(lines) > 2 {
				for _, line := range lines[1 : len(lines)-1] {
					if line == "" {
						t.Fatalf("%q is held back", b.rest())
					}
				}
			}
		})
	})

	// Guards against a router whose memory is taken by an event without end.
	It("fails on an event that is too large, and on no other", func() {
		var b eventBuffer
		event := strings.Repeat("a", maxEventBytes-len([]byte(testEventEnd))) + testEventEnd
		for range 2 {
			events, count, err := b.add([]byte(event))
			Expect(err).NotTo(HaveOccurred())
			Expect(count).To(Equal(1))
			Expect(events).To(HaveLen(maxEventBytes))
		}
		_, count, err := b.add([]byte("id: 1\n\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(count).To(Equal(1))
		Expect(cap(b.data)).To(BeNumerically("<=", keptEventBytes), "a large event is over")
		for added := 0; added < maxEventBytes; added += streamReadSize {
			_, _, err = b.add([]byte(event[:streamReadSize]))
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err = b.add([]byte("a"))
		Expect(err).To(MatchError(errEventTooLarge))
	})

	// Guards against a core that is busy with one event in many small pieces, as each piece had all earlier
	// ones scanned again.
	It("scans each byte once", func() {
		piece := []byte("abcdefgh")
		var b eventBuffer
		startedAt := time.Now()
		for added := 0; added+len(piece) <= maxEventBytes; added += len(piece) {
			_, _, err := b.add(piece)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
	})
})

// BenchmarkEventBuffer adds an event of some tokens.
func BenchmarkEventBuffer(b *testing.B) {
	event := []byte("id: 17\ndata: " + strings.Repeat("token ", 10) + "\n\n")
	var buffer eventBuffer
	b.ReportAllocs()
	for b.Loop() {
		if _, n, err := buffer.add(event); n != 1 || err != nil {
			b.Fatal(n, err)
		}
	}
}
