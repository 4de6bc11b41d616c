// Records of the stream `configuration`: entries survive parsing and writing,
// and a fold's export imports into a fold with the same state.

#include "LibContract/contract.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  const std::string_view payload = FuzzText(bytes, size);
  const ConfigurationRecord record = ParseConfigurationRecord(payload);
  const std::string written = WriteConfigurationRecord(record.entries);
  FuzzRequire(ParseConfigurationRecord(written).entries == record.entries,
              "entries survive writing");
  // Offset 7 leaves a gap, which also exercises snapshots.
  ConfigurationFold fold;
  fold.Apply(0, 0, payload);
  fold.Apply(7, 0, payload);
  ConfigurationFold peer;
  const auto imported = Capture([&] {
    return peer.Import(
        ConfigurationExportFromJson(ConfigurationExportToJson(fold.Export()))
            .value());
  });
  FuzzRequire(imported.Ok() && imported.Value(), "a peer imports the export");
  FuzzRequire(peer.State()->digest == fold.State()->digest,
              "both folds have the same documents in force");
  return 0;
}
