package experimenter

import "os"

// Command is the command line of the experiments.
type Command struct {
	Seed  uint64 `long:"seed" default:"1" description:"seed of all random draws"`
	Runs  int    `long:"runs" description:"repetitions; 0 takes each experiment's own number"`
	Plots string `long:"plots" description:"folder for plots"`
	Args  struct {
		Name string `positional-arg-name:"NAME" description:"an experiment, or all"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the experiment and prints its tables.
func (c *Command) Execute([]string) error {
	return Run(c.Args.Name, Config{Seed: c.Seed, Runs: c.Runs, Out: os.Stdout, Plots: c.Plots})
}
