package org.arbutusfield.member;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.MemberRecord;
import org.arbutusfield.wire.gen.MemberTable;

/**
 * Encodes and decodes the messages of the membership protocol. Decoding checks every field and fails with
 * {@code PEER_PROTOCOL}.
 */
public final class HeartbeatCodec {
    private static final HexFormat HEX = HexFormat.of();

    private HeartbeatCodec() {}

    /** Encodes a heartbeat. */
    public static ControlMessage encode(Heartbeat heartbeat) {
        org.arbutusfield.wire.gen.Heartbeat message = new org.arbutusfield.wire.gen.Heartbeat();
        message.setName(heartbeat.name());
        message.setIncarnation(heartbeat.incarnation());
        message.setState(heartbeat.state().code());
        message.setRefutation(heartbeat.refutation());
        message.setRevision(heartbeat.announcement().revision());
        message.setDigest(HEX.parseHex(heartbeat.announcement().digest()));
        message.setTableDigest(heartbeat.tableDigest());
        message.setIntroduce(heartbeat.introduce());
        message.setRumours(records(heartbeat.rumours()));
        return ControlMessage.heartbeat(message);
    }

    /** Decodes a heartbeat. */
    public static Either<Failure, Heartbeat> decode(ControlMessage message) {
        if (!message.isSetHeartbeat()) {
            return malformed("heartbeat");
        }
        org.arbutusfield.wire.gen.Heartbeat heartbeat = message.getHeartbeat();
        Optional<MemberState> state = MemberState.of(heartbeat.getState());
        if (heartbeat.getName() == null || state.isEmpty() || heartbeat.getRevision() < 0) {
            return malformed("heartbeat");
        }
        String digest = heartbeat.getDigest() == null ? "" : HEX.formatHex(heartbeat.getDigest());
        return rumours(heartbeat.getRumours())
                .map(rumours -> new Heartbeat(
                        heartbeat.getName(),
                        heartbeat.getIncarnation(),
                        state.get(),
                        heartbeat.getRefutation(),
                        new RevisionAnnouncement(heartbeat.getRevision(), digest),
                        heartbeat.getTableDigest(),
                        heartbeat.isIntroduce(),
                        rumours));
    }

    /** Encodes rumours as part of a member table. */
    public static ControlMessage encodeTable(List<Rumour> rumours) {
        MemberTable table = new MemberTable();
        table.setRecords(records(rumours));
        return ControlMessage.memberTable(table);
    }

    /** Decodes a part of a member table. */
    public static Either<Failure, List<Rumour>> decodeTable(ControlMessage message) {
        if (!message.isSetMemberTable()) {
            return malformed("member table");
        }
        return rumours(message.getMemberTable().getRecords());
    }

    private static List<MemberRecord> records(List<Rumour> rumours) {
        List<MemberRecord> records = new ArrayList<>(rumours.size());
        for (Rumour rumour : rumours) {
            Member member = rumour.member();
            MemberRecord record = new MemberRecord();
            record.setName(member.name());
            record.setRegion(member.region());
            record.setFailureDomain(member.failureDomain());
            record.setCallerHost(member.callerHost());
            record.setCallerPort(member.callerPort());
            record.setControlPort(member.controlPort());
            record.setIncarnation(member.incarnation());
            record.setState(member.state().code());
            record.setRefutation(rumour.refutation());
            records.add(record);
        }
        return records;
    }

    private static Either<Failure, List<Rumour>> rumours(List<MemberRecord> records) {
        List<Rumour> rumours = new ArrayList<>();
        for (MemberRecord record : records == null ? List.<MemberRecord>of() : records) {
            Optional<MemberState> state = MemberState.of(record.getState());
            boolean complete = record.getName() != null
                    && record.getRegion() != null
                    && record.getFailureDomain() != null
                    && record.getCallerHost() != null;
            if (!complete || state.isEmpty()) {
                return malformed("member record");
            }
            Member member = new Member(
                    record.getName(),
                    record.getRegion(),
                    record.getFailureDomain(),
                    record.getCallerHost(),
                    record.getCallerPort(),
                    record.getControlPort(),
                    record.getIncarnation(),
                    state.get());
            rumours.add(new Rumour(member, record.getRefutation()));
        }
        return Either.right(rumours);
    }

    private static <T> Either<Failure, T> malformed(String subject) {
        return Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, subject));
    }
}
