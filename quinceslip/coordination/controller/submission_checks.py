"""Checks whether a submitted job can ever start and run; the reason against it goes into the answer to its user."""

from collections.abc import Sequence

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.controller.job_status import JobStatusReader
from quinceslip.coordination.controller.subsystem import Subsystem
from quinceslip.protocol import messages as m
from quinceslip.storage import records


class SubmissionChecks:
    """Checks of a submitted job against the settings, the machine types and the jobs that it depends on."""

    def __init__(self, ctx: Context, status: JobStatusReader, subsystems: Sequence[Subsystem]) -> None:
        self.ctx = ctx
        self.status = status
        self.subsystems = subsystems

    def rejection_reason(self, job: records.JobRecord, spec: m.JobSpec) -> str | None:
        """Return the reason, for the user, why a job can never run; None if it can."""
        if not self.ctx.fits_value_limit(job):
            return "its description is larger than a record may be"
        if self.ctx.team(spec.team) is None:
            return f"unknown team {spec.team}"
        reason = self._no_fitting_type_reason(spec)
        if reason is not None:
            return reason
        for subsystem in self.subsystems:
            reason = subsystem.rejection_reason(spec)
            if reason is not None:
                return reason
        return None

    def awaits_machine_types(self, spec: m.JobSpec) -> bool:
        """Whether a job fits no type that is known here, but may fit one that the cloud described unusably."""
        return self.ctx.has_unusable_types and self._no_fitting_type_reason(spec) is not None

    def dependency_error(self, spec: m.JobSpec) -> str | None:
        """Return why its dependencies keep a job from ever starting; None if this controller knows of no reason."""
        if spec.job_id in spec.dependencies:
            return f"{spec.job_id} waits on itself"
        for job_id in spec.dependencies:
            job = self.ctx.cache.job(job_id)
            if job is None:
                return f"waits on {job_id}, which was never accepted"
            if job.spec is not None and job.spec.service:
                return f"waits on {job_id}, which is a service and never done"
        return None

    def depends_on_cancelled(self, spec: m.JobSpec) -> bool:
        """Whether a dependency of the job is already cancelled."""
        for job_id in spec.dependencies:
            job = self.ctx.cache.job(job_id)
            if job is not None and job.state != m.DONE and self.status.is_final(job_id, job):
                return True
        return False

    def _no_fitting_type_reason(self, spec: m.JobSpec) -> str | None:
        """Return why no allowed machine type can hold one task; None if one can."""
        allowed = [t for t in self.ctx.machine_types.values() if spec.types is None or t.label in spec.types]
        if any(_can_hold_task(machine_type, spec) for machine_type in allowed):
            return None
        zone_text = "" if spec.zone is None else f" in {spec.zone}"
        labels = ", ".join(sorted(t.label for t in allowed)) or "there is none"
        return (
            f"a task of {spec.cpus:g} CPUs, {spec.gpus:g} GPUs and {spec.memory_gb:g} GB fits no allowed "
            f"machine type{zone_text}: {labels}"
        )


def _can_hold_task(machine_type: m.MachineType, spec: m.JobSpec) -> bool:
    return (
        machine_type.cpus >= spec.cpus
        and machine_type.gpus >= spec.gpus
        and machine_type.memory_gb >= spec.memory_gb
        and (spec.zone is None or spec.zone in machine_type.zones)
    )
