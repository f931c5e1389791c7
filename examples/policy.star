# An operators' policy for micahill. It is run once, when a controller starts;
# what it leaves in these names are the settings. Names that begin with _ are
# the script's own. Everything may be left out.

# The paper's w: a group of tasks is relaunched after w times the median run
# time of the job's finished tasks.
relaunch_factor = 2.0

# How often the leader may move machines between the controllers' shares.
share_interval_s = 30

# Room kept free for work whose wait an objective bounds; 1.0 is what arrives
# of it while a machine boots.
warm_room = 1.0

# How long an idle machine of the cheapest kind is kept.
idle_keep_s = 45

# Prices are multiplied by these when types are compared.
prefer = {"lab-rack": 0.95}

# Of jobs as urgent as each other, those of heavier workloads go first.
_clinics = ["rush-rx"]
weights = {name: 10 for name in _clinics}
