# An example of an operators' policy for micahill. A controller runs the script once, when it
# starts, and takes the values of these global names as settings. Names that begin with _ are
# private to the script. Every setting is optional.

# The factor w of the paper: a group of tasks is relaunched after w times the median run time of
# the job's finished tasks.
relaunch_factor = 2.0

# The least time in seconds between two moves of machines between the controllers' shares by the
# leader.
share_interval_s = 30

# The capacity kept free for tasks whose wait an objective bounds. 1.0 is the capacity for the
# tasks of this kind that arrive while a machine boots.
warm_room = 1.0

# How many seconds an idle machine of the cheapest type is kept.
idle_keep_s = 45

# Factors for the prices of machine types, applied when types are compared.
prefer = {"lab-rack": 0.95}

# Weights of workloads. Of jobs of the same urgency, those of a workload with a higher weight go
# first.
_clinics = ["rush-rx"]
weights = {name: 10 for name in _clinics}
