package message

// QueryStatus requests the controller's status, for operators. A StatusReply answers it.
type QueryStatus struct{ Reply uint64 }

func (QueryStatus) command() {}

// StatusReply answers a QueryStatus with the controller's status.
type StatusReply struct {
	Reply uint64 `json:"-"`
	// Host is the controller that answers.
	Host string `json:"host"`
	// Healthy is true if the controller can serve requests.
	Healthy bool `json:"healthy"`
	// Leader is the leader's host, as far as this controller knows.
	Leader        string       `json:"leader"`
	IsLeader      bool         `json:"is_leader"`
	IsShardLeader bool         `json:"is_owner"`
	Teams         []TeamStatus `json:"teams,omitempty"`
	// Shards is the shard map.
	Shards         []ShardStatus       `json:"shares,omitempty"`
	RemoteAttempts RemoteAttemptStatus `json:"wards"`
	// InternalErrors counts errors of the program itself, such as malformed requests that it sent.
	InternalErrors int `json:"defects"`
	// RejectedInputs counts invalid inputs from outside.
	RejectedInputs int `json:"bad_input"`
	// Controllers are the hosts of the controllers that are members.
	Controllers []string         `json:"nodes"`
	Workloads   []WorkloadStatus `json:"workloads,omitempty"`
	// Machines are the machines that this controller owns.
	Machines []MachineStatus `json:"machines,omitempty"`
	// Pipelines counts this controller's jobs that wait for other jobs to be done. BlockingJobs
	// are the jobs for which most of them wait.
	Pipelines    int                 `json:"pipelines,omitempty"`
	BlockingJobs []BlockingJobStatus `json:"behind,omitempty"`
	// WaitingJobs are the jobs that have waited too long for the placement of a task, the longest
	// wait first.
	WaitingJobs []WaitingJobStatus `json:"left_waiting,omitempty"`
	// Migrations and GPUFreeCapacity are set while the models feature is enabled.
	Migrations      *MigrationsStatus `json:"moves,omitempty"`
	GPUFreeCapacity []GPUFreeCapacity `json:"gpu_rooms,omitempty"`
}

func (StatusReply) effect() {}

// TeamStatus describes a team and the shard leader that runs the team.
type TeamStatus struct {
	Name string `json:"name"`
	// Owner is the shard leader's host.
	Owner string `json:"owner,omitempty"`
	// IsLocal is true if this controller runs the team. Ready is true if this controller has
	// recovered the team's jobs.
	IsLocal bool `json:"here,omitempty"`
	Ready   bool `json:"ready,omitempty"`
	// CPU is the number of CPUs that the team's tasks use and wait for, if this controller runs
	// the team.
	CPU float64 `json:"cpu,omitempty"`
}

// ShardStatus describes a shard of the shard map.
type ShardStatus struct {
	Name string `json:"name"`
	// Leader is the host of the shard's leader. Alive is true if the leader's incarnation is a
	// member.
	Leader string `json:"holder"`
	Alive  bool   `json:"alive"`
	// Teams and Segments count the teams and the segments of the shard.
	Teams int `json:"teams"`
	// HoldsCatchAll is true if the shard also has everything that no other shard has.
	HoldsCatchAll bool `json:"rest,omitempty"`
	Segments      int  `json:"lots"`
}

// RemoteAttemptStatus counts the attempts that run on a machine whose owner is not the owner of
// their job.
type RemoteAttemptStatus struct {
	// OnOthersMachines counts attempts of this controller's jobs on machines of others.
	OnOthersMachines int `json:"afar"`
	// OthersHere counts attempts of others' jobs on this controller's machines.
	OthersHere int `json:"here"`
}

// WorkloadStatus summarizes the open jobs of a workload.
type WorkloadStatus struct {
	Name string `json:"name"`
	Jobs int    `json:"jobs"`
	// Waiting, Live and Done count the jobs' tasks.
	Waiting int `json:"waiting"`
	Live    int `json:"live"`
	Done    int `json:"done"`
	// TasksPerSecond is the rate of submitted tasks.
	TasksPerSecond float64 `json:"tasks_per_s"`
	// RunToEstimate is the ratio of the tasks' run times to their users' estimates.
	RunToEstimate float64 `json:"run_to_estimate"`
}

// MachineStatus describes a machine and its use.
type MachineStatus struct {
	ID          string `json:"id"`
	MachineType string `json:"flavour"`
	Zone        string `json:"zone"`
	Spot        bool   `json:"spot"`
	// State is the machine's state as shown to operators, such as up, booting or faulty.
	State string `json:"state"`
	// Tasks counts the attempts on the machine.
	Tasks   int     `json:"tasks"`
	UsedCPU float64 `json:"used_cpu"`
	CPU     float64 `json:"cpu"`
	// LastHeartbeatAge is the time since the last heartbeat, formatted as time.Duration is; ""
	// before the first heartbeat.
	LastHeartbeatAge string `json:"heard"`
}

// BlockingJobStatus describes a job on which jobs of this controller depend.
type BlockingJobStatus struct {
	Job string `json:"job"`
	// Dependents counts the jobs that wait for the blocking job.
	Dependents int `json:"jobs"`
	// State is the known state of the job.
	State string `json:"state"`
}

// WaitingJobStatus describes a job none of whose tasks has been placed for too long.
type WaitingJobStatus struct {
	Job      string `json:"job"`
	Team     string `json:"team"`
	Workload string `json:"workload"`
	// WaitedSeconds is the time since the job became ready or since one of its tasks was last
	// placed.
	WaitedSeconds float64 `json:"waited_s"`
	// Reason is why no task of the job is placed.
	Reason string `json:"reason"`
}

// MigrationsStatus summarizes the replica migrations of this controller.
type MigrationsStatus struct {
	// Plans counts the started migration plans, Moved the replicas that run on their new machine,
	// and Dropped the migrations that were given up before their replica was stopped.
	Plans   int `json:"plans"`
	Moved   int `json:"moved"`
	Dropped int `json:"dropped"`
	// LongestDownSeconds is the longest time between the stop of a replica and its restart.
	LongestDownSeconds float64           `json:"longest_down_s"`
	InProgress         []MigrationStatus `json:"now,omitempty"`
}

// MigrationStatus describes a replica migration in progress.
type MigrationStatus struct {
	Job  string `json:"job"`
	Task int    `json:"task"`
	// From and To are the IDs of the old and the new machine.
	From string `json:"from"`
	To   string `json:"to"`
	// For is the job for which the migration frees capacity.
	For   string `json:"for"`
	State string `json:"state"`
	// ExpectedDownSeconds is the expected downtime of the replica.
	ExpectedDownSeconds float64 `json:"expected_down_s"`
	// GivenUpInSeconds is the time until the migration's deadline, at which it is given up.
	GivenUpInSeconds float64 `json:"given_up_in_s"`
}

// GPUFreeCapacity describes the free capacity on the machines with GPUs of one kind.
type GPUFreeCapacity struct {
	MachineType string `json:"flavour"`
	Zone        string `json:"zone"`
	Spot        bool   `json:"spot"`
	Machines    int    `json:"hosts"`
	// EmptyMachines counts the machines all of whose GPUs one replica could use.
	EmptyMachines int `json:"whole"`
	// FreeGPUs counts the free GPUs, and FragmentedGPUs the free GPUs on machines that
	// EmptyMachines does not count.
	FreeGPUs       float64 `json:"free_gpus"`
	FragmentedGPUs float64 `json:"gpus_in_pieces"`
	// LargestReplicaGPUs is the largest number of GPUs that one replica could use now.
	LargestReplicaGPUs float64 `json:"largest_replica_gpus"`
}
