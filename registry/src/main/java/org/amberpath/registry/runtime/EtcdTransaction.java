package org.amberpath.registry.runtime;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.amberpath.registry.RegistryRecord;

/**
 * Encodes an etcd transaction, which carries out all writes, or none if one of the keys was written
 * since it was read.
 *
 * @param leaseId the lease to attach to keys that begin with {@code leasedPrefix}; 0 for none
 * @param tip the new value of the tip; empty if the transaction does not write it
 */
@SuppressWarnings("ArrayRecordComponent") // Encoded once, never compared.
record EtcdTransaction(
    String prefix,
    List<RegistryProtocol.Write> writes,
    long leaseId,
    String leasedPrefix,
    Optional<byte[]> tip) {

  RegistryProtocol.Request request() {
    return EtcdJson.post(
        "/v3/kv/txn",
        json -> {
          json.writeArrayFieldStart("compare");
          for (RegistryProtocol.Write write : writes) {
            writeComparison(json, write);
          }
          json.writeEndArray();
          json.writeArrayFieldStart("success");
          for (RegistryProtocol.Write write : writes) {
            writeOperation(json, write);
          }
          if (tip.isPresent()) {
            writeTip(json, tip.get());
          }
          json.writeEndArray();
        });
  }

  private static void writeComparison(JsonGenerator json, RegistryProtocol.Write write)
      throws IOException {
    json.writeStartObject();
    EtcdJson.writeBytes(json, "key", write.key());
    json.writeStringField("target", "MOD");
    json.writeStringField("result", "EQUAL");
    EtcdJson.writeLong(json, "mod_revision", write.expectedRevision());
    json.writeEndObject();
  }

  private void writeOperation(JsonGenerator json, RegistryProtocol.Write write) throws IOException {
    Optional<RegistryRecord> value = write.value();
    json.writeStartObject();
    json.writeObjectFieldStart(value.isPresent() ? "request_put" : "request_delete_range");
    EtcdJson.writeBytes(json, "key", write.key());
    if (value.isPresent()) {
      json.writeBinaryField("value", RecordCodec.encode(value.get()));
      EtcdJson.writeLong(json, "lease", write.key().startsWith(leasedPrefix) ? leaseId : 0);
    }
    json.writeEndObject();
    json.writeEndObject();
  }

  private void writeTip(JsonGenerator json, byte[] value) throws IOException {
    json.writeStartObject();
    json.writeObjectFieldStart("request_put");
    EtcdJson.writeBytes(json, "key", prefix + RecordCodec.TIP_KEY);
    json.writeBinaryField("value", value);
    json.writeEndObject();
    json.writeEndObject();
  }
}
