package configstore_test

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/faketable"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var ctx = context.Background()

func newStore(t *faketable.Table) *configstore.Store {
	return configstore.New(t, func() time.Time { return time.Unix(1000, 0) })
}

func team(name string, weight int, version uint64) resource.Resource {
	return resource.Resource{
		Kind: resource.KindTeam, Spec: fmt.Appendf(nil, `{"weight":%d}`, weight),
		Metadata: resource.Metadata{Name: name, ResourceVersion: version},
	}
}

func codeOf(err error) code.Code {
	var coded *code.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return code.OK
}

func one(r resource.Resource) []resource.Resource { return []resource.Resource{r} }

var _ = Describe("accepting a change", func() {
	It("counts revisions, generations and UIDs", func() {
		s := newStore(faketable.New())
		op, change, err := s.Accept(ctx, "op-1", one(team("a", 1, 0)))
		Expect(err).NotTo(HaveOccurred())
		Expect(op.Revision).To(Equal(uint64(1)))
		uid := change.Resources[0].Metadata.UID
		Expect(uid).NotTo(BeZero())
		_, change, err = s.Accept(ctx, "op-2", one(team("a", 2, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(change.Resources[0].Metadata).To(Equal(resource.Metadata{Name: "a", Generation: 2, ResourceVersion: 2, UID: uid}))
	})

	// Symptom: an operator's change is gone. Sequence: two operators read the same
	// version, both write. Cause: the second overwrites the first unseen.
	It("refuses one that is based on an older version", func() {
		s := newStore(faketable.New())
		_, _, err := s.Accept(ctx, "op-1", one(team("a", 1, 0)))
		Expect(err).NotTo(HaveOccurred())
		_, _, err = s.Accept(ctx, "op-2", one(team("a", 2, 0)))
		Expect(codeOf(err)).To(Equal(code.Conflict))
	})

	// Symptom: the same. Sequence: the rival's change comes between the check of the
	// version and the write. Cause: the check and the write are not one transaction.
	It("refuses one that a rival overtakes before its write", func() {
		t := faketable.New()
		s := newStore(t)
		_, _, err := s.Accept(ctx, "op-1", one(team("a", 1, 0)))
		Expect(err).NotTo(HaveOccurred())
		t.BeforeCommit = func() {
			t.BeforeCommit = nil
			_, _, err := s.Accept(ctx, "rival", one(team("a", 7, 1)))
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err = s.Accept(ctx, "op-2", one(team("a", 2, 1)))
		Expect(codeOf(err)).To(Equal(code.Conflict))
	})

	// Symptom: a pool sends work to one engine as if it were two. Sequence: a file
	// names a target twice. Cause: both become targets, with UIDs of their own.
	It("refuses one that names a resource twice", func() {
		s := newStore(faketable.New())
		_, _, err := s.Accept(ctx, "op", []resource.Resource{team("a", 1, 0), team("a", 2, 0)})
		Expect(codeOf(err)).To(Equal(code.BadResource))
	})

	It("makes no second change of a repeated operation", func() {
		t := faketable.New()
		s := newStore(t)
		first, _, err := s.Accept(ctx, "op-1", one(team("a", 1, 0)))
		Expect(err).NotTo(HaveOccurred())
		again, change, err := s.Accept(ctx, "op-1", one(team("a", 1, 0)))
		Expect(err).NotTo(HaveOccurred())
		Expect(change).To(BeNil())
		Expect(again.Revision).To(Equal(first.Revision))
		Expect(t.Commits).To(Equal(1))
	})

	DescribeTable("refuses what would break references",
		func(r resource.Resource, want code.Code) {
			s := newStore(faketable.New())
			_, _, err := s.Accept(ctx, "base", []resource.Resource{
				{Kind: resource.KindPool, Metadata: resource.Metadata{Name: "p"}, Spec: []byte(`{"protocol":"model"}`)},
				{Kind: resource.KindTarget, Metadata: resource.Metadata{Name: "t"}, Spec: []byte(`{"pool":"p","address":"127.0.0.1:1"}`)},
			})
			Expect(err).NotTo(HaveOccurred())
			_, _, err = s.Accept(ctx, "op", one(r))
			Expect(codeOf(err)).To(Equal(want))
		},
		Entry("a target of no pool", resource.Resource{Kind: resource.KindTarget, Metadata: resource.Metadata{Name: "u"}, Spec: []byte(`{"pool":"q","address":"127.0.0.1:1"}`)}, code.BadReference),
		Entry("a pool with targets deleted", resource.Resource{Kind: resource.KindPool, Deleted: true, Metadata: resource.Metadata{Name: "p", ResourceVersion: 1}}, code.BadReference),
		Entry("deleting what is not there", resource.Resource{Kind: resource.KindTeam, Deleted: true, Metadata: resource.Metadata{Name: "x"}}, code.NoSuchResource),
		Entry("an unknown field", resource.Resource{Kind: resource.KindTeam, Metadata: resource.Metadata{Name: "x"}, Spec: []byte(`{"wieght":1}`)}, code.BadResource),
	)

	// Symptom: an operator is told that a change failed, and it holds; or that it
	// holds, and it does not; or one change is made twice. Sequence: replies are lost,
	// writes arrive late, the store refuses, operators race, all at random. Cause: a
	// lost reply is taken for a failure, or repeated blindly.
	It("never says anything false about an operation, whatever the table does", func() {
		testkit.Check("1500", func(t *rapid.T) {
			tab := faketable.New()
			s := newStore(tab)
			faulty := true
			tab.ChooseFault = func(bool) faketable.Fault {
				if !faulty {
					return faketable.NoFault
				}
				return rapid.SampledFrom([]faketable.Fault{
					faketable.NoFault, faketable.NoFault, faketable.NoFault, faketable.Refused,
					faketable.ReplyLost, faketable.WriteLost, faketable.WriteDelayed,
				}).Draw(t, "fault")
			}
			said := make(map[string]error)
			for i := range 8 {
				name := fmt.Sprintf("op-%d", i)
				_, _, said[name] = s.Accept(ctx, name, one(team(fmt.Sprintf("team-%d", i), 1, 0)))
			}
			faulty = false
			conf, err := s.Load(ctx)
			if err != nil {
				t.Fatal(err)
			}
			held := 0
			for name, err := range said {
				_, lookup := s.Operation(ctx, name)
				switch {
				case err == nil && lookup != nil:
					t.Fatalf("%s: said accepted, is not", name)
				case codeOf(err) == code.StoreDown && lookup == nil:
					t.Fatalf("%s: said not accepted, is", name)
				}
				if lookup == nil {
					held++
				}
			}
			if int(conf.Revision) != held || len(conf.Resources) != held {
				t.Fatalf("revision %d, %d resources, %d operations", conf.Revision, len(conf.Resources), held)
			}
		})
	})
})

var _ = Describe("reading the configuration", func() {
	It("returns the changes after a revision, or everything when they are gone", func() {
		s := newStore(faketable.New())
		for i := range 300 {
			_, _, err := s.Accept(ctx, fmt.Sprint(i), one(team(fmt.Sprintf("team-%d", i), 1, 0)))
			Expect(err).NotTo(HaveOccurred())
		}
		changes, whole, err := s.Since(ctx, 298)
		Expect(err).NotTo(HaveOccurred())
		Expect(whole).To(BeNil())
		Expect(changes).To(HaveLen(2))
		_, whole, err = s.Since(ctx, 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(whole.Revision).To(Equal(uint64(300)))
		Expect(whole.Resources).To(HaveLen(300))
	})
})
