package bench

func straggle() Experiment  { return Experiment{} }
func cold() Experiment      { return Experiment{} }
func domain() Experiment    { return Experiment{} }
func over() Experiment      { return Experiment{} }
func roll() Experiment      { return Experiment{} }
func restart() Experiment   { return Experiment{} }
func outage() Experiment    { return Experiment{} }
func twice() Experiment     { return Experiment{} }
func control() Experiment   { return Experiment{} }
func mergeCost() Experiment { return Experiment{} }
