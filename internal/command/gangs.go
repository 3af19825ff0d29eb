package command

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/config"
	pb "grebeglade/proto/grebeglade/v1"
)

// readGang reads a group from a file.
func readGang(file string) (*pb.GangAsk, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	b, err := config.Parse(file, src)
	if err != nil {
		return nil, err
	}
	const day = 24 * 3600e3
	a := &pb.GangAsk{
		Ask: rand.Uint64(), LeftMs: float64(b.Duration("pending", 10e3)), Spread: b.OneOf("spread", "", "", "node", "cell", "zone"),
		Replace: b.OneOf("on_loss", "undo", "undo", "replace") == "replace", ReplaceWithinMs: float64(b.Duration("replace_within", 3e3)),
	}
	for _, p := range b.Blocks("part") {
		count := p.Int("count", 1, 1, 1000)
		for range count {
			a.Parts = append(a.Parts, &pb.Ask{
				Key: rand.Uint64(), Group: p.String("group", ""), Service: uint64(p.Int("service", 1, 1, 1<<50)),
				Cores: p.Float("cores", 1, 0.0001, 1e6), Memory: p.Float("memory", 1, 0.0001, 1e9),
				RunsForMs: float64(p.Duration("runs_for", 10e3)),
			})
		}
		if p.String("group", "") == "" {
			p.AddProblem("group", "a part without a priority group", `write group = "NAME"`)
		}
	}
	if len(a.Parts) == 0 {
		b.AddProblem("part", "no part", `write at least one: part { group = "NAME"  cores = 1  memory = 2  count = 3 }`)
	}
	a.Need = uint32(b.Int("need", len(a.Parts), 1, max(1, len(a.Parts))))
	if a.LeftMs <= 0 || a.LeftMs > day {
		b.AddProblem("pending", "pending is no time to wait", `write one such as "10s"`)
	}
	return a, b.Finish()
}

// submitGang asks for a group and prints its one answer.
func submitGang(c *cobra.Command, to, owner, file string, wait, asJSON bool) error {
	a, err := readGang(file)
	if err != nil {
		return err
	}
	cl, err := dial(to, pb.Role_OWNER, owner)
	if err != nil {
		return err
	}
	defer cl.Close()
	began := time.Now()
	a.SentMs = cl.clock()
	if err := cl.send(&pb.Frame{Body: &pb.Frame_GangAsk{GangAsk: a}}); err != nil {
		return err
	}
	pending := time.Duration(a.LeftMs * 1e6)
	v := verdict{Ask: a.Ask}
	for v.Verdict == "" {
		f, err := cl.receive(pending + talkWithin)
		if err != nil {
			return err
		}
		if r := f.GetRefusal(); r != nil {
			return failure{errors.New(r.Reason)}
		}
		if ans := f.GetAnswer(); ans != nil && ans.Ask == a.Ask {
			v.Verdict, v.Reason, v.Nodes = verdictWords[ans.Verdict], ans.Reason, ans.Nodes
			v.TookMs = float64(time.Since(began)) / 1e6
		}
	}
	for wait && v.Verdict == "placed" && v.Ended == "" {
		f, err := cl.receive(1000 * time.Hour)
		if err != nil {
			return err
		}
		if o := f.GetOver(); o != nil && o.Ask == a.Ask {
			v.Ended = o.Why.String()
		}
	}
	return showVerdict(c, v, asJSON)
}

func gangsCommand() *cobra.Command {
	var to string
	var most uint32
	var asJSON bool
	c := &cobra.Command{
		Use:   "gangs",
		Short: "List the groups that an allocator holds, and how far they are",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := query(to, pb.Query_GANGS, most)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c, s)
			}
			rows := [][]string{{"GANG", "STATE", "RUNNING", "NEEDED", "PARTS", "TRIES", "SINCE", "OWNER", "WORKLOADS"}}
			for _, g := range s.Gangs {
				var parts []string
				for _, id := range g.Workloads {
					parts = append(parts, strconv.FormatUint(id, 10))
				}
				rows = append(rows, []string{
					strconv.FormatUint(g.Ask, 10), g.State, number(g.Running), number(g.Need), number(g.Parts), number(g.Tries),
					ago(g.SinceMs), g.Owner, strings.Join(parts, " "),
				})
			}
			return table(c, rows, s.LeftOut)
		},
	}
	toFlag(c, &to)
	c.Flags().Uint32Var(&most, "most", 1000, "list so many at most")
	jsonFlag(c, &asJSON)
	return c
}

// nodesText names nodes in the order of the parts.
func nodesText(nodes []uint32) string {
	var all []string
	for _, n := range nodes {
		if n == 0 {
			all = append(all, "none")
			continue
		}
		all = append(all, fmt.Sprint(n))
	}
	return strings.Join(all, ", ")
}
