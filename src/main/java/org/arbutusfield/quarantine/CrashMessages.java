package org.arbutusfield.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.proxy.InterruptedRun;
import org.arbutusfield.state.SuspectRequest;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.CrashReport;
import org.arbutusfield.wire.gen.EndedUpstream;
import org.arbutusfield.wire.gen.InterruptedRequest;
import org.arbutusfield.wire.gen.SuspectList;
import org.arbutusfield.wire.gen.SuspectRecord;

/** Converts between this package's types and the messages of the control protocol. */
final class CrashMessages {
    private CrashMessages() {}

    /** A report of one run that was interrupted. */
    static ControlMessage interrupted(String fingerprint, InterruptedRun run, UpstreamStart upstream, long nowNanos) {
        InterruptedRequest request = new InterruptedRequest(
                fingerprint,
                upstream.upstream(),
                upstream.startMillis(),
                run.upstream().host(),
                run.upstream().port(),
                TimeUnit.NANOSECONDS.toMicros(run.sinceSent().toNanos()),
                TimeUnit.NANOSECONDS.toMicros(nowNanos - run.lostNanos()));
        return ControlMessage.crashReport(new CrashReport(List.of(request), List.of()));
    }

    /** A report that a suspect request was answered. */
    static ControlMessage answered(String fingerprint) {
        return ControlMessage.crashReport(new CrashReport(List.of(), List.of(fingerprint)));
    }

    /** The run that a report tells of, with the times of the host that received it. */
    static CrashedRun run(InterruptedRequest request, long receivedNanos) {
        long ended = receivedNanos - TimeUnit.MICROSECONDS.toNanos(request.getAgeMicros());
        return new CrashedRun(
                new UpstreamStart(request.getUpstream(), request.getStartMillis()),
                ended - TimeUnit.MICROSECONDS.toNanos(request.getRanMicros()),
                ended);
    }

    /** A list of suspect requests that tells nothing about the time of the ends. */
    static ControlMessage suspects(List<SuspectRequest> suspects) {
        return ControlMessage.suspectList(new SuspectList(suspects.stream()
                .map(suspect -> suspectRecord(suspect, Duration.ZERO))
                .toList()));
    }

    /** A suspect request, with the time since the first of its upstreams ended. */
    static ControlMessage suspect(SuspectRequest suspect, Duration sinceFirstEnd) {
        return ControlMessage.suspectList(new SuspectList(List.of(suspectRecord(suspect, sinceFirstEnd))));
    }

    static List<SuspectRequest> suspects(SuspectList list) {
        return list.getSuspects().stream().map(CrashMessages::suspect).toList();
    }

    private static SuspectRecord suspectRecord(SuspectRequest suspect, Duration sinceFirstEnd) {
        List<EndedUpstream> ended = suspect.ended().stream()
                .map(start -> new EndedUpstream(start.upstream(), start.startMillis()))
                .toList();
        return new SuspectRecord(suspect.fingerprint(), ended, TimeUnit.NANOSECONDS.toMicros(sinceFirstEnd.toNanos()));
    }

    static SuspectRequest suspect(SuspectRecord suspectRecord) {
        List<UpstreamStart> ended = suspectRecord.getEnded().stream()
                .map(start -> new UpstreamStart(start.getUpstream(), start.getStartMillis()))
                .toList();
        return new SuspectRequest(suspectRecord.getFingerprint(), ended);
    }
}
