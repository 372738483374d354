"""The checker's rules by subject: task execution, answers to users, starvation, quota, and the end of a run."""
